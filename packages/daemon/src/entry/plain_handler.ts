import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as engine from "@geraniumkeel/engine";
import * as wire from "@geraniumkeel/wire";
import * as bodySender from "../dispatch/body_sender.ts";
import * as request from "../dispatch/request.ts";
import * as quarantineHandle from "../dispatch/quarantine_handle.ts";
import * as fingerprint from "../quarantine/fingerprint.ts";
import * as acceptWork from "./accept_work.ts";
import * as callerConnection from "./caller_connection.ts";
import type * as entryContext from "./entry_context.ts";
import * as generateHandler from "./generate_handler.ts";
import * as plainSink from "./plain_sink.ts";
import * as problems from "./problems.ts";
import * as readBeginning from "../caller_connections/read_beginning.ts";

/** Path under which plain services are reached. */
export const SERVICES_PREFIX = "/services/";
/** Chunks of a body under way to one caller. */
const WINDOW = 16;
/** Bodies up to this size are read whole, and can be sent again. */
const BUFFERED_BYTES = 256 * 1024;
/** Headers that are ours and not the service's business. */
const OWN_HEADERS = new Set([
  "authorization",
  acceptWork.TIMEOUT_HEADER,
  acceptWork.REPEATABLE_HEADER,
]);

/** A call of a plain service whose body has not been read. */
interface PlainCall {
  context: entryContext.EntryContext;
  welcome: acceptWork.WelcomeCaller;
  incoming: http.IncomingMessage;
  response: http.ServerResponse;
}

/** A call whose head was checked. */
interface CheckedCall extends PlainCall {
  target: { service: string; path: string };
  service: configuration.PlainService;
  terms: acceptWork.RequestTerms;
  arrivedAt: number;
}

/** Handles calls of plain services: `/services/{service}/{path}`. */
export async function handlePlain(call: PlainCall): Promise<void> {
  const { context, welcome, incoming, response } = call;
  const arrivedAt = common.now();
  const target = splitTarget(incoming.url ?? "");
  const service = target && welcome.view.service(target.service);
  if (service?.kind !== configuration.ServiceKind.Plain || !target) {
    const title = "The service does not exist";
    const told = problems.refusal(404, "service-not-found", title);
    return problems.sendProblem(response, told);
  }
  const terms = acceptWork.readTerms(
    incoming.headers,
    service.timeoutMilliseconds,
  );
  if (terms.isErr()) {
    return problems.sendProblem(response, problems.invalidInput(terms.error));
  }
  const stopping = acceptWork.checkStop(context, terms.value);
  if (stopping) return problems.sendProblem(response, stopping);
  const keyed = terms.value.idempotencyKey !== undefined;
  const suspect = context.quarantine.hasQuarantined(service.name);
  const body = await readBeginning.readBeginning(
    incoming,
    // A key stands for the whole body, and so does a request in quarantine: all of
    // it must be known before it is sent.
    keyed || suspect ? service.maximumBodyBytes : BUFFERED_BYTES,
    {
      limit: service.maximumBodyBytes,
      timeoutMilliseconds: context.settings.timing.bodyTimeout,
      resources: context.bodyResources,
    },
  );
  if (body.isErr()) {
    const told = generateHandler.bodyProblem(body.error);
    return problems.sendProblem(response, told);
  }
  await callService(
    { ...call, target, service, terms: terms.value, arrivedAt },
    body.value,
  ).finally(body.value.release);
}

/** Calls a service with a body of which the beginning was read. */
async function callService(
  call: CheckedCall,
  body: readBeginning.BodyBeginning,
): Promise<void> {
  const { context, welcome, incoming, response } = call;
  const { service, terms, target, arrivedAt } = call;
  const { name } = welcome.account;
  const limit = await context.limits.reserve(name, 0);
  if (limit.kind === "refused") {
    const told = generateHandler.overLimit(limit.retryAfterMilliseconds);
    return problems.sendProblem(response, told);
  }
  const connection = new callerConnection.CallerConnection(
    response,
    context.settings.timing.callerStall,
  );
  const accepted = toAccepted({
    welcome,
    service,
    terms,
    signal: connection.signal,
    work: {
      kind: wire.WorkKind.Call,
      method: incoming.method ?? "GET",
      path: target.path,
      headers: passedHeaders(incoming.rawHeaders),
      body: body.beginning,
      bodyFollows: body.rest !== undefined,
    },
    rest: body.rest,
    target: incoming.url ?? "",
  });
  response.setHeader("x-request-id", accepted.identifier);
  const sink = new plainSink.PlainSink(connection);
  const result = await context.dispatcher.run(accepted, sink);
  if (result.kind === request.ResultKind.Complete) {
    context.router.observeLatency(result.runner, common.now() - arrivedAt);
    sink.finish();
  } else if (result.kind === request.ResultKind.NotRun) {
    context.limits.refund(name, 0);
  }
  generateHandler.concludeRequest({ context, accepted, connection, result });
}

/** Service and path of a target; the query stays with the path. */
function splitTarget(
  url: string,
): { service: string; path: string } | undefined {
  const rest = url.slice(SERVICES_PREFIX.length);
  const match = /^([^/?]+)(.*)$/.exec(rest);
  if (!match) return undefined;
  const path = match[2].startsWith("/") ? match[2] : `/${match[2]}`;
  return { service: match[1], path };
}

/** Whether a call may be repeated: only if its longest route says so. */
export function isRepeatable(
  service: configuration.PlainService,
  method: string,
  path: string,
): boolean {
  let longest = -1;
  let repeatable = false;
  for (const route of service.routes) {
    if (route.method !== method) continue;
    if (!path.startsWith(route.pathPrefix)) continue;
    if (route.pathPrefix.length <= longest) continue;
    longest = route.pathPrefix.length;
    repeatable = route.repeatable;
  }
  return repeatable;
}

function passedHeaders(raw: string[]): [string, string][] {
  const headers: [string, string][] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (!OWN_HEADERS.has(name)) headers.push([name, raw[index + 1]]);
  }
  return engine.forwardedHeaders(headers);
}

function toAccepted(parameters: {
  welcome: acceptWork.WelcomeCaller;
  service: configuration.PlainService;
  terms: acceptWork.RequestTerms;
  signal: AbortSignal;
  work: wire.CallWork;
  rest: AsyncIterator<Uint8Array> | undefined;
  target: string;
}): request.AcceptedRequest {
  const { welcome, service, terms, work, target } = parameters;
  const { name: account } = welcome.account;
  const name = new fingerprint.LazyFingerprint({
    account,
    method: work.method,
    host: "",
    target,
    body: work.body,
  });
  const rest = parameters.rest && name.hashRest(parameters.rest);
  const configured = isRepeatable(service, work.method, work.path);
  const repeatable = configured && !terms.forbidsRepeat;
  return {
    identifier: common.randomIdentifier(),
    account,
    weight: welcome.account.weight,
    service: service.name,
    work,
    repeatable,
    idempotencyKey: repeatable ? undefined : terms.idempotencyKey,
    deadline: terms.deadline,
    signal: parameters.signal,
    urgency: terms.urgency,
    promptTokens: 0,
    expectedTokens: 1,
    prefixBlocks: [],
    runnerConcurrency: service.runnerConcurrency,
    window: WINDOW,
    body: rest && new bodySender.BodySender(rest),
    quarantineHandle: new quarantineHandle.QuarantineHandle(service.name, name),
  };
}
