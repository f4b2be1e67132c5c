import * as common from "@geraniumkeel/common";
import * as engineModule from "@geraniumkeel/engine";
import * as wire from "@geraniumkeel/wire";
import type * as attemptRecord from "./attempt_record.ts";
import type * as backEndRateLimit from "./back_end_rate_limit.ts";
import type * as backEndRest from "./back_end_rest.ts";
import type * as backEndLives from "./back_end_lives.ts";

/** Times a broken engine stream is taken up again. */
const RESUME_TRIES = 3;
const RESUME_PAUSE_MILLISECONDS = 50;

/** Runs a generation and records its tokens and its end. */
export async function runGenerate(parameters: {
  record: attemptRecord.AttemptRecord;
  engine: engineModule.HttpEngine;
  lives: backEndLives.BackEndLives;
  rateLimit: backEndRateLimit.BackEndRateLimit;
  rest: backEndRest.BackEndRest;
  work: wire.GenerateWork;
}): Promise<void> {
  const { record, engine, lives, rateLimit, rest, work } = parameters;
  const { identifier } = record.attempt;
  const signal = record.abort.signal;
  let items = engine.generate({ ...work, identifier }, signal);
  let broken = "";
  for (let attempt = 0; attempt <= RESUME_TRIES; attempt++) {
    const last = await passOnTokens(record, items);
    switch (last?.kind) {
      case undefined: {
        void engine.cancel(identifier);
        return record.finish({ kind: wire.EndKind.Cancelled });
      }
      case engineModule.EngineItemKind.Finish: {
        return record.finish(endOfFinish(last));
      }
      case engineModule.EngineItemKind.NotStarted:
        if (attempt === 0) {
          const { reason } = last;
          return record.finish({ kind: wire.EndKind.NotStarted, reason });
        }
        broken = last.reason;
        break;
      case engineModule.EngineItemKind.Broken: {
        broken = last.reason;
        const endedLife = await lives.endedUnder(record.startedAt);
        if (endedLife === "") break;
        // What the engine held of the sequence went with it.
        const kind = wire.EndKind.Broken;
        return record.finish({ kind, reason: broken, endedLife });
      }
    }
    // The engine holds the sequence: going on from the next token keeps the
    // answer of one sampling, where a new generation would splice two.
    await common.sleep(RESUME_PAUSE_MILLISECONDS * (attempt + 1), signal);
    await rest.wait(signal);
    await rateLimit.takeInTurn(signal);
    items = engine.resume(identifier, record.produced, signal);
  }
  const endedLife = await lives.endedUnder(record.startedAt);
  record.finish({ kind: wire.EndKind.Broken, reason: broken, endedLife });
}

/** Only an end that the engine itself calls complete is one. */
function endOfFinish(
  last: Extract<LastItem, { kind: engineModule.EngineItemKind.Finish }>,
): wire.AttemptEnd {
  const { reason, promptTokens } = last;
  const finishReason = Object.values(wire.FinishReason).find(
    (known) => String(known) === reason,
  );
  if (finishReason === undefined) {
    const told = `engine ended it: ${reason}`;
    return { kind: wire.EndKind.Broken, reason: told, endedLife: "" };
  }
  return { kind: wire.EndKind.Complete, finishReason, promptTokens };
}

type LastItem = Exclude<
  engineModule.EngineItem,
  { kind: engineModule.EngineItemKind.Token }
>;

/** Passes tokens on; returns the last item, or `undefined` if stopped. */
async function passOnTokens(
  record: attemptRecord.AttemptRecord,
  items: AsyncGenerator<engineModule.EngineItem, void, void>,
): Promise<LastItem | undefined> {
  for await (const item of items) {
    if (record.abort.signal.aborted) return undefined;
    if (item.kind !== engineModule.EngineItemKind.Token) return item;
    // A resumed stream may repeat tokens that were already passed on.
    if (item.index < record.produced) continue;
    if (item.index > record.produced) {
      const kind = engineModule.EngineItemKind.Broken;
      return { kind, reason: "token missing" };
    }
    record.append(item.text);
    if (!(await record.room())) return undefined;
  }
  return undefined;
}

/** Calls a plain service once and records its answer. */
export async function runCall(parameters: {
  record: attemptRecord.AttemptRecord;
  service: engineModule.HttpPlainService;
  lives: backEndLives.BackEndLives;
  work: wire.CallWork;
}): Promise<void> {
  const { record, service, lives, work } = parameters;
  const { method, path, headers } = work;
  const body = work.bodyFollows ? record.body.read(work.body) : work.body;
  const call = { method, path, headers, body };
  const answer = await service.call(call, record.abort.signal);
  if (answer.isErr()) {
    const { sent, reason } = answer.error;
    if (!sent) return record.finish({ kind: wire.EndKind.NotStarted, reason });
    return breakOff(record, lives, reason);
  }
  const { status } = answer.value;
  record.setHead({ status, headers: answer.value.headers });
  try {
    for await (const chunk of answer.value.body) {
      record.append(chunk);
      if (await record.room()) continue;
      return record.finish({ kind: wire.EndKind.Cancelled });
    }
  } catch (cause) {
    if (record.abort.signal.aborted) {
      return record.finish({ kind: wire.EndKind.Cancelled });
    }
    return breakOff(record, lives, (cause as Error).message);
  }
  // The process of a service that crashes ends its connections in order.
  const endedLife = answer.value.endsWithConnection
    ? await lives.endedUnder(record.startedAt)
    : "";
  if (endedLife !== "") {
    const reason = "service crashed at the end of its answer";
    return record.finish({ kind: wire.EndKind.Broken, reason, endedLife });
  }
  record.finish({
    kind: wire.EndKind.Complete,
    finishReason: wire.FinishReason.Stop,
    promptTokens: 0,
  });
}

/** Ends a call that broke off, and says whether the service ended with it. */
async function breakOff(
  record: attemptRecord.AttemptRecord,
  lives: backEndLives.BackEndLives,
  reason: string,
): Promise<void> {
  const aborted = record.abort.signal.aborted;
  const endedLife = aborted ? "" : await lives.endedUnder(record.startedAt);
  record.finish({ kind: wire.EndKind.Broken, reason, endedLife });
}
