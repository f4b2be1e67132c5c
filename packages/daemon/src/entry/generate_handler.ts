import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as neverthrow from "neverthrow";
import * as wire from "@geraniumkeel/wire";
import * as request from "../dispatch/request.ts";
import * as quarantineHandle from "../dispatch/quarantine_handle.ts";
import * as problem from "../operator/problem.ts";
import * as fingerprint from "../quarantine/fingerprint.ts";
import * as prefixIndex from "../routing/prefix_index.ts";
import * as acceptWork from "./accept_work.ts";
import * as callerConnection from "./caller_connection.ts";
import type * as entryContext from "./entry_context.ts";
import * as generationSink from "./generation_sink.ts";
import * as openAi from "./open_ai.ts";
import * as problems from "./problems.ts";
import * as readBody from "../caller_connections/read_body.ts";

/** Largest body of a generation request, in bytes. */
export const LARGEST_GENERATION_BODY = 4 * 1024 * 1024;
/** Bodies that have memory now are sent on within this time, as a rule. */
const MEMORY_RETRY_SECONDS = 1;
/** Tokens under way to one caller. */
const WINDOW = 64;

/** A generation request whose body has not been read. */
interface GenerationCall {
  context: entryContext.EntryContext;
  welcome: acceptWork.WelcomeCaller;
  incoming: http.IncomingMessage;
  response: http.ServerResponse;
  kind: openAi.GenerationInterface;
}

/** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
export async function handleGeneration(call: GenerationCall): Promise<void> {
  const { context, incoming, response } = call;
  const arrivedAt = common.now();
  const body = await readBody.readBody(incoming, {
    limit: LARGEST_GENERATION_BODY,
    timeoutMilliseconds: context.settings.timing.bodyTimeout,
    resources: context.bodyResources,
  });
  if (body.isErr()) {
    return problems.sendProblem(response, bodyProblem(body.error));
  }
  const { content, release } = body.value;
  await generate(call, content, arrivedAt).finally(release);
}

/** Handles a request of which the body was read. */
async function generate(
  call: GenerationCall,
  body: Buffer,
  arrivedAt: number,
): Promise<void> {
  const { context, welcome, incoming, response } = call;
  const generation = readGeneration(body, call.kind);
  if (generation.isErr()) {
    return problems.sendProblem(response, generation.error);
  }
  const found = findService(welcome.view, generation.value);
  if (found.isErr()) return problems.sendProblem(response, found.error);
  const service = found.value;
  const terms = acceptWork.readTerms(
    incoming.headers,
    service.timeoutMilliseconds,
  );
  if (terms.isErr()) {
    return problems.sendProblem(response, problems.invalidInput(terms.error));
  }
  const stopping = acceptWork.checkStop(context, terms.value);
  if (stopping) return problems.sendProblem(response, stopping);
  const connection = new callerConnection.CallerConnection(
    response,
    context.settings.timing.callerStall,
  );
  const accepted = toAccepted({
    context,
    welcome,
    service,
    generation: generation.value,
    terms: terms.value,
    signal: connection.signal,
    name: new fingerprint.LazyFingerprint({
      account: welcome.account.name,
      method: incoming.method ?? "",
      host: "",
      target: incoming.url ?? "",
      body,
    }),
  });
  const reserved = accepted.promptTokens + accepted.expectedTokens;
  const { name } = welcome.account;
  const limit = await context.limits.reserve(name, reserved);
  if (limit.kind === "refused") {
    const told = overLimit(limit.retryAfterMilliseconds);
    return problems.sendProblem(response, told);
  }
  response.setHeader("x-request-id", accepted.identifier);
  const sink = createSink({
    context,
    connection,
    accepted,
    generation: generation.value,
  });
  const result = await context.dispatcher.run(accepted, sink);
  settleLimit(context, name, accepted, result, sink.count);
  answer({ context, accepted, connection, sink, result, arrivedAt });
}

function readGeneration(
  body: Buffer,
  kind: openAi.GenerationInterface,
): neverthrow.Result<openAi.GenerationRequest, problem.Problem> {
  const text = body.toString("utf8");
  switch (kind) {
    case openAi.GenerationInterface.Chat:
      return common
        .validateJson(openAi.CHAT_BODY, text)
        .map(openAi.readChat)
        .mapErr(problems.invalidInput);
    case openAi.GenerationInterface.Completion:
      return common
        .validateJson(openAi.COMPLETION_BODY, text)
        .map(openAi.readCompletion)
        .mapErr(problems.invalidInput);
  }
}

/** What a caller is told of a body that could not be read. */
export function bodyProblem(failure: readBody.BodyFailure): problem.Problem {
  switch (failure.kind) {
    case "too-large": {
      const detail = `send at most ${failure.limit} bytes`;
      const title = "The body is too large";
      return problems.refusal(413, "body-too-large", title, { detail });
    }
    case "too-slow":
      return problems.refusal(
        408,
        "body-too-slow",
        "The body did not come in time",
      );
    case "no-memory":
      return problems.refusal(
        503,
        "no-memory",
        "There is no memory for the body",
        {
          retryAfterSeconds: MEMORY_RETRY_SECONDS,
        },
      );
    case "broken":
      return problems.refusal(400, "body-broken", "The body broke off");
  }
}

function findService(
  view: configuration.ConfigurationView,
  generation: openAi.GenerationRequest,
): neverthrow.Result<configuration.ModelService, problem.Problem> {
  const service = view.service(generation.model);
  if (service?.kind !== configuration.ServiceKind.Model) {
    const detail = `there is no model ${JSON.stringify(generation.model)}`;
    const title = "The model does not exist";
    return neverthrow.err(
      problems.refusal(404, "model-not-found", title, { detail }),
    );
  }
  const asked = generation.maximumTokens ?? 0;
  if (asked > service.maximumTokens) {
    const problemFound = {
      path: "max_tokens",
      value: String(asked),
      fix: `ask for at most ${service.maximumTokens}`,
    };
    return neverthrow.err(problems.invalidInput([problemFound]));
  }
  return neverthrow.ok(service);
}

function toAccepted(parameters: {
  context: entryContext.EntryContext;
  welcome: acceptWork.WelcomeCaller;
  service: configuration.ModelService;
  generation: openAi.GenerationRequest;
  terms: acceptWork.RequestTerms;
  signal: AbortSignal;
  name: fingerprint.LazyFingerprint;
}): request.AcceptedRequest {
  const { context, welcome, service, generation, terms, name } = parameters;
  const { prompt, options } = generation;
  const maximumTokens = generation.maximumTokens ?? service.maximumTokens;
  return {
    identifier: common.randomIdentifier(),
    account: welcome.account.name,
    weight: welcome.account.weight,
    service: service.name,
    work: {
      kind: wire.WorkKind.Generate,
      prompt,
      maximumTokens,
      urgency: terms.urgency,
      options,
    },
    repeatable: !terms.forbidsRepeat,
    idempotencyKey: terms.forbidsRepeat ? terms.idempotencyKey : undefined,
    deadline: terms.deadline,
    signal: parameters.signal,
    urgency: terms.urgency,
    promptTokens: wire.estimateTokens(prompt),
    expectedTokens: context.lengths.expect(service.name, maximumTokens),
    prefixBlocks: prefixIndex.hashPrefixBlocks(prompt),
    runnerConcurrency: service.runnerConcurrency,
    window: WINDOW,
    quarantineHandle: new quarantineHandle.QuarantineHandle(service.name, name),
  };
}

/** What a caller beyond its account's limit is told. */
export function overLimit(retryAfterMilliseconds: number): problem.Problem {
  const retryAfterSeconds = retryAfterMilliseconds / 1_000;
  const title = "The account's limit is reached";
  return problems.refusal(429, "over-limit", title, { retryAfterSeconds });
}

function createSink(parameters: {
  context: entryContext.EntryContext;
  connection: callerConnection.CallerConnection;
  accepted: request.AcceptedRequest;
  generation: openAi.GenerationRequest;
}): generationSink.StreamSink | generationSink.WholeSink {
  const { context, connection, accepted, generation } = parameters;
  const format = new openAi.AnswerFormat(accepted.identifier, generation);
  if (!generation.stream) {
    return new generationSink.WholeSink(connection, format);
  }
  const tags = { service: accepted.service };
  const onInterval = (milliseconds: number) =>
    context.metrics.time(common.Metric.BetweenTokens, milliseconds, tags);
  return new generationSink.StreamSink(connection, format, onInterval);
}

/** Corrects the account's credit by what the request really used. */
function settleLimit(
  context: entryContext.EntryContext,
  account: string,
  accepted: request.AcceptedRequest,
  result: request.RequestResult,
  count: number,
): void {
  const reserved = accepted.promptTokens + accepted.expectedTokens;
  if (result.kind === request.ResultKind.NotRun) {
    return context.limits.refund(account, reserved);
  }
  const used = accepted.promptTokens + count;
  context.limits.reconcile(account, reserved, used);
  if (result.kind !== request.ResultKind.Complete) return;
  context.lengths.observe(accepted.service, count);
}

function answer(parameters: {
  context: entryContext.EntryContext;
  accepted: request.AcceptedRequest;
  connection: callerConnection.CallerConnection;
  sink: generationSink.StreamSink | generationSink.WholeSink;
  result: request.RequestResult;
  arrivedAt: number;
}): void {
  const { context, accepted, connection, sink, result } = parameters;
  const { service } = accepted;
  if (sink.firstPieceAt !== undefined) {
    const firstToken = sink.firstPieceAt - parameters.arrivedAt;
    context.metrics.time(common.Metric.FirstToken, firstToken, { service });
  }
  if (result.kind === request.ResultKind.Complete) {
    sink.finish(result.finishReason, result.promptTokens);
  }
  concludeRequest({ context, accepted, connection, result });
}

/** Reports a result, and tells the caller of one that is no answer. */
export function concludeRequest(parameters: {
  context: entryContext.EntryContext;
  accepted: request.AcceptedRequest;
  connection: callerConnection.CallerConnection;
  result: request.RequestResult;
}): void {
  const { context, accepted, connection, result } = parameters;
  const { identifier, service } = accepted;
  const { logger, metrics, history, settings } = context;
  const tags = { service, outcome: result.kind };
  metrics.count(common.Metric.Requests, tags);
  const { host } = settings;
  history.record({ kind: "result", host, identifier, result: result.kind });
  switch (result.kind) {
    case request.ResultKind.Complete:
      return;
    case request.ResultKind.CallerGone:
      if (!connection.stalled) return;
      return logger.event(common.EventCode.CallerStalled, { identifier });
    case request.ResultKind.Incomplete: {
      const { reason } = result;
      logger.event(common.EventCode.RequestIncomplete, { identifier, reason });
      return connection.breakOff();
    }
    case request.ResultKind.NotRun: {
      const { reason } = result;
      metrics.count(common.Metric.Refusals, { reason });
      const held = reason === request.NotRunReason.Quarantined;
      const fingerprint = held
        ? accepted.quarantineHandle.fingerprint
        : undefined;
      const facts = { identifier, reason, fingerprint };
      logger.event(common.EventCode.RequestRefused, facts);
      break;
    }
    case request.ResultKind.MayHaveRun: {
      const { reason } = result;
      logger.event(common.EventCode.RequestMayHaveRun, { identifier, reason });
      break;
    }
    case request.ResultKind.RanBefore:
    case request.ResultKind.KeyReused:
      break;
  }
  problems.sendProblem(connection.response, problems.problemOfResult(result));
}
