import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as settings from "../settings/settings.ts";
import * as attemptRecord from "./attempt_record.ts";
import type * as attemptTable from "./attempt_table.ts";
import * as waitingRoom from "./waiting_room.ts";
import * as runAttempt from "./run_attempt.ts";
import type * as upstreamContext from "./upstream_context.ts";

/** Dispatches that may wait for room at once. */
const MOST_WAITING = 64;

/**
 * Age up to which claims of attempts are told, in milliseconds: beyond that of any copy
 * of the table that it may come back from.
 */
const CLAIMS_TOLD_MILLISECONDS = 120_000;

/** What this process says first on every link. */
export function helloOf(context: upstreamContext.UpstreamContext): wire.Hello {
  const { settings: own, incarnation } = context;
  const { backEnd } = own;
  const rank =
    backEnd.kind === settings.BackEndKind.Model
      ? backEnd
      : { group: "", rank: 0, groupSize: 0 };
  return {
    kind: wire.MessageKind.Hello,
    role: wire.PeerRole.Upstream,
    host: own.host,
    place: own.place,
    incarnation,
    linkNumber: 0,
    revision: 0,
    clock: common.now(),
    service: own.service,
    group: rank.group,
    rank: rank.rank,
    groupSize: rank.groupSize,
    leaving: context.leaving,
  };
}

/** Serves one link from an entry until it ends. */
export async function serveEntryLink(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
): Promise<void> {
  link.closeOn(context.lifeCycle.signal);
  try {
    link.send(helloOf(context));
    const first = await link.receive();
    if (first?.kind !== wire.MessageKind.Hello) return;
    if (!takePlaceOfOlderLink(context, first, link)) {
      return link.close(wire.LinkEnd.Replaced);
    }
    await handleMessages(context, link, first.host);
  } finally {
    // Also after an exception: a link that stays open without anybody who reads
    // it looks sound to its entry, whose requests would wait on it.
    link.close();
  }
}

/** Handles the messages of a link until it ends, and forgets it then. */
async function handleMessages(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
  peer: string,
): Promise<void> {
  context.links.set(link, { received: 0, reported: 0 });
  link.isBusy = () =>
    context.table.running.some((record) => record.isFollowedBy(link));
  context.logger.event(common.EventCode.LinkEstablished, { peer });
  try {
    for await (const message of link.messages()) {
      // Messages queued on a replaced link are void: the entry has asked again
      // on the new one, and a late dispatch would run what was settled.
      if (link.end !== undefined) break;
      handleMessage(context, link, message);
    }
  } finally {
    context.links.delete(link);
    for (const record of context.table.records.values()) record.detach(link);
    if (!context.lifeCycle.closing) {
      const reason = link.end;
      context.logger.event(common.EventCode.LinkLost, { peer, reason });
    }
  }
}

/** Whether this link is the newest of its entry; older ones are ended. */
function takePlaceOfOlderLink(
  context: upstreamContext.UpstreamContext,
  hello: wire.Hello,
  link: wire.Link,
): boolean {
  const newest = context.newestLink.get(hello.incarnation);
  if (newest && newest.number >= hello.linkNumber) return false;
  newest?.link.close(wire.LinkEnd.Replaced);
  const number = hello.linkNumber;
  context.newestLink.set(hello.incarnation, { number, link });
  return true;
}

function handleMessage(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
  message: wire.Message,
): void {
  switch (message.kind) {
    case wire.MessageKind.Dispatch:
      return dispatch(context, link, message);
    case wire.MessageKind.Resume:
      return resume(context, link, message);
    case wire.MessageKind.Acknowledge:
      context.table.records
        .get(message.identifier)
        ?.acknowledge(link, message.offset);
      return;
    case wire.MessageKind.Cancel:
      return cancel(context, message.attempt);
    case wire.MessageKind.Settle:
      return settle(context, link, message);
    case wire.MessageKind.Release:
      context.table.records.get(message.identifier)?.release();
      return;
    case wire.MessageKind.BodyPiece: {
      const { identifier, index, bytes, ends } = message;
      const record = context.table.records.get(identifier);
      return record?.body.take(index, bytes, ends);
    }
    case wire.MessageKind.Drain:
      return context.drain();
    case wire.MessageKind.StateRequest: {
      const text = JSON.stringify(context.state());
      const { question } = message;
      const kind = wire.MessageKind.StateAnswer;
      return link.send({ kind, question, text });
    }
    case wire.MessageKind.ClaimsRequest:
      return tellClaims(context, link, message.question);
    case wire.MessageKind.Order:
      context.lifeCycle.run("order", () => order(context, link, message));
      return;
    default:
      return;
  }
}

/**
 * Whether a dispatch may start. The limit is kept here, where all entries meet:
 * each of them alone would fill the runner until its next report, and 7 put 28
 * attempts where 4 are allowed.
 */
function admit(
  context: upstreamContext.UpstreamContext,
  { attempt, limit }: MessageOf<wire.MessageKind.Dispatch>,
): attemptTable.Admission {
  const { table, leaving } = context;
  const refuse = (reason: wire.RefusalReason): attemptTable.Admission => ({
    admitted: false,
    reason,
  });
  if (leaving) return refuse(wire.RefusalReason.Leaving);
  const admission = table.admit(attempt);
  if (!admission.admitted) return admission;
  if (!hasRoom(table, limit)) return refuse(wire.RefusalReason.Full);
  const restMilliseconds = context.rest.waitMilliseconds;
  if (restMilliseconds > 0) {
    const reason = wire.RefusalReason.Resting;
    return { admitted: false, reason, retryAfter: restMilliseconds };
  }
  const retryAfter = context.rateLimit.take();
  if (retryAfter > 0) {
    const reason = wire.RefusalReason.AtRateLimit;
    return { admitted: false, reason, retryAfter };
  }
  return admission;
}

function hasRoom(table: attemptTable.AttemptTable, limit: number): boolean {
  // An entry of an earlier version sends no limit.
  return limit > 0 ? table.runningCount < limit : true;
}

/** Dispatches that wait a moment for room; started or refused when they leave. */
export function newWaitingRoom(
  table: attemptTable.AttemptTable,
  context: () => upstreamContext.UpstreamContext,
): waitingRoom.WaitingRoom<upstreamContext.WaitingDispatch> {
  return new waitingRoom.WaitingRoom({
    changed: table.changed,
    hasRoom: ({ message }) =>
      hasRoom(table, message.limit) &&
      context().rateLimit.hasRoom &&
      context().rest.waitMilliseconds === 0,
    leave: (waiting) => {
      // Its entry has asked again over a new link, and was told "never started".
      if (waiting.link.end !== undefined) return;
      start({ context: context(), ...waiting, mayWait: false });
    },
    mostWaiting: MOST_WAITING,
  });
}

type MessageOf<K extends wire.MessageKind> = Extract<wire.Message, { kind: K }>;

function dispatch(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
  message: MessageOf<wire.MessageKind.Dispatch>,
): void {
  const dispatches = context.links.get(link);
  if (dispatches) dispatches.received++;
  start({ context, link, message, mayWait: true });
}

/**
 * Starts an attempt, has it wait for room, or refuses it for good. All of it is
 * asked again of one that has waited: meanwhile it may have been settled.
 */
function start(
  parameters: upstreamContext.WaitingDispatch & {
    context: upstreamContext.UpstreamContext;
    mayWait: boolean;
  },
): void {
  const { context, link, message, mayWait } = parameters;
  const { attempt } = message;
  const { identifier } = attempt;
  // A second copy of a dispatch must neither run nor be called refused.
  if (context.table.records.has(identifier)) return;
  const admission = admit(context, message);
  if (!admission.admitted) {
    const { reason, retryAfter } = admission;
    const isFull =
      reason === wire.RefusalReason.Full ||
      reason === wire.RefusalReason.AtRateLimit ||
      reason === wire.RefusalReason.Resting;
    const waits = mayWait && isFull;
    if (waits && context.waitingRoom.enter({ link, message })) return;
    // A full runner is no trouble, and refuses many in a surge.
    if (!isFull) {
      const code = common.EventCode.DispatchRefused;
      context.logger.event(code, { identifier, reason });
    }
    const kind = wire.MessageKind.Refused;
    // Refused is final: without the tombstone a copy could still start.
    if (reason === wire.RefusalReason.Leaving) context.table.settle(attempt);
    if (isFull) context.table.turnAway(attempt);
    // Its entry counts it as under way until a report includes it.
    context.table.changed.announce();
    const { perSecond } = context.rateLimit;
    return link.send({ kind, identifier, reason, retryAfter, perSecond });
  }
  const record = new attemptRecord.AttemptRecord(
    attempt,
    message.repeatable,
    link,
    message.window,
    message.work.kind === wire.WorkKind.Generate
      ? wire.estimateTokens(message.work.prompt)
      : 0,
  );
  record.claim = message.claim;
  context.rest.noteSent();
  context.table.add(record);
  context.history.record({
    kind: "agent-started",
    host: context.settings.host,
    identifier,
  });
  context.lifeCycle.run("attempt", async () => {
    try {
      await runWork(context, record, message.work);
    } finally {
      // Does nothing if it has ended. After an exception it may have run, and
      // its entry waits for the end.
      const reason = "exception while it ran";
      const kind = wire.EndKind.Broken;
      record.finish({ kind, reason, endedLife: "" });
      context.table.ended(record);
    }
    if (record.end?.kind !== wire.EndKind.Broken) return;
    const { reason } = record.end;
    context.logger.event(common.EventCode.EngineFailed, { identifier, reason });
  });
}

async function runWork(
  context: upstreamContext.UpstreamContext,
  record: attemptRecord.AttemptRecord,
  work: wire.Work,
): Promise<void> {
  const { backEnd, lives, rateLimit, rest } = context;
  const mismatch = { kind: wire.EndKind.NotStarted, reason: "wrong work" };
  switch (work.kind) {
    case wire.WorkKind.Generate:
      if (backEnd.kind !== settings.BackEndKind.Model) {
        return record.finish(mismatch as wire.AttemptEnd);
      }
      return runAttempt.runGenerate({
        record,
        engine: backEnd.engine,
        lives,
        rateLimit,
        rest,
        work,
      });
    case wire.WorkKind.Call:
      if (backEnd.kind !== settings.BackEndKind.Plain) {
        return record.finish(mismatch as wire.AttemptEnd);
      }
      return runAttempt.runCall({
        record,
        service: backEnd.service,
        lives,
        work,
      });
  }
}

/**
 * Goes on with an attempt over a new link. The entry asks for every attempt it
 * has open; one that is unknown here was lost with the old link before it
 * arrived, and is refused for ever before the entry is told so.
 */
function resume(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
  message: MessageOf<wire.MessageKind.Resume>,
): void {
  const { identifier } = message.attempt;
  const record = context.table.records.get(identifier);
  if (record) return record.resume(link, message.offset, message.window);
  const state = context.table.settle(message.attempt);
  if (state === wire.AttemptState.NeverStarted) {
    context.logger.event(common.EventCode.AttemptTombstoned, { identifier });
  }
  const kind = wire.MessageKind.Settled;
  link.send({ kind, identifier, question: 0, state });
}

function settle(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
  message: MessageOf<wire.MessageKind.Settle>,
): void {
  const { identifier } = message.attempt;
  const { question } = message;
  const state = context.table.settle(message.attempt);
  const kind = wire.MessageKind.Settled;
  link.send({ kind, identifier, question, state });
}

/**
 * Tells the claims of attempts that started lately. The table service may have lost them
 * with its last seconds, and the entries that made them may be gone.
 */
function tellClaims(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
  question: number,
): void {
  const since = common.now() - CLAIMS_TOLD_MILLISECONDS;
  const claims: wire.ClaimsAnswer["claims"] = [];
  for (const { claim, attempt, startedAt } of context.table.records.values()) {
    if (claim && startedAt >= since) claims.push({ claim, attempt });
  }
  link.send({ kind: wire.MessageKind.ClaimsAnswer, question, claims });
}

/** Cancels a running attempt, and refuses one that has not arrived yet. */
function cancel(
  context: upstreamContext.UpstreamContext,
  attempt: wire.Attempt,
): void {
  const record = context.table.records.get(attempt.identifier);
  if (record) return record.cancel();
  context.table.settle(attempt);
}

async function order(
  context: upstreamContext.UpstreamContext,
  link: wire.Link,
  message: MessageOf<wire.MessageKind.Order>,
): Promise<void> {
  const kind = wire.MessageKind.OrderAnswer;
  const { question } = message;
  if (context.backEnd.kind !== settings.BackEndKind.Model) {
    const refusal = wire.OrderRefusal.Unsupported;
    const answer = { done: false as const, refusal, fencing: 0 };
    return link.send({ kind, question, answer });
  }
  const answer = await context.backEnd.orders.handle(message);
  if (!answer.done) {
    const { refusal } = answer;
    context.logger.event(common.EventCode.OrderRefused, { refusal });
  }
  link.send({ kind, question, answer });
}
