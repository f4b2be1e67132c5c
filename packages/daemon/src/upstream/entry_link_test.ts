import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as attemptRecord from "./attempt_record.ts";
import * as attemptTable from "./attempt_table.ts";
import * as entryLink from "./entry_link.ts";
import * as backEndRest from "./back_end_rest.ts";
import * as backEndRateLimit from "./back_end_rate_limit.ts";
import type * as upstreamContext from "./upstream_context.ts";

const test = ava.default;

const INCARNATION = "incarnation-one";

function attempt(identifier: string): wire.Attempt {
  return { identifier, agentIncarnation: INCARNATION, issuedAt: common.now() };
}

/** Work that no back end is needed for: this one ends as soon as it starts. */
function dispatch(identifier: string): wire.Message {
  return {
    kind: wire.MessageKind.Dispatch,
    attempt: attempt(identifier),
    account: "counter",
    service: "plain",
    repeatable: true,
    window: 1,
    limit: 1,
    work: {
      kind: wire.WorkKind.Generate,
      prompt: "",
      maximumTokens: 1,
      urgency: 3,
      options: {},
    },
  };
}

const HELLO = {
  kind: wire.MessageKind.Hello,
  host: "entry-one",
  incarnation: "entry",
  linkNumber: 1,
} as wire.Message;

interface Fixture {
  context: upstreamContext.UpstreamContext;
  /** Identifiers of attempts that started, in order. */
  started: string[];
  sent: wire.Message[];
  /** Serves a link over which these messages come; it stays open. */
  receive: (messages: wire.Message[]) => Promise<void>;
  /** Ends the attempt that fills the runner. */
  free: () => void;
  /** Number of links that were closed. */
  closed: () => number;
}

/** A process whose runner has room for one attempt, and has one. */
function fixture(onTaskFailure?: common.TaskFailureListener): Fixture {
  let closed = 0;
  const sent: wire.Message[] = [];
  const started: string[] = [];
  const table = new attemptTable.AttemptTable(INCARNATION);
  const link = (messages: wire.Message[]): wire.Link =>
    ({
      end: undefined,
      closeOn: () => undefined,
      close: () => void closed++,
      send: (message: wire.Message) => sent.push(message),
      receive: () => Promise.resolve(HELLO),
      async *messages() {
        yield* messages;
      },
    }) as unknown as wire.Link;
  const other = link([]);
  const filling = attempt("filling");
  const record = new attemptRecord.AttemptRecord(filling, true, other, 1, 0);
  table.add(record);
  const context = {
    settings: { host: "runner", place: "", service: "", backEnd: {} },
    incarnation: INCARNATION,
    lifeCycle: new common.LifeCycle("runner", onTaskFailure),
    logger: new common.RecordingLogger(),
    history: {
      record: (event: { identifier: string }) => started.push(event.identifier),
    },
    table,
    backEnd: {},
    links: new Map(),
    newestLink: new Map(),
    leaving: false,
    rest: new backEndRest.BackEndRest({
      host: "h",
      service: "s",
      logger: new common.RecordingLogger(),
      metrics: common.discardMetrics(),
    }),
    rateLimit: new backEndRateLimit.BackEndRateLimit({
      host: "h",
      service: "s",
      logger: new common.RecordingLogger(),
    }),
  } as unknown as upstreamContext.UpstreamContext;
  context.waitingRoom = entryLink.newWaitingRoom(table, () => context);
  return {
    context,
    started,
    sent,
    receive: (messages) => entryLink.serveEntryLink(context, link(messages)),
    free: () => table.ended(record),
    closed: () => closed,
  };
}

function refusals(sent: wire.Message[]): wire.RefusalReason[] {
  return sent.flatMap((message) =>
    message.kind === wire.MessageKind.Refused ? [message.reason] : [],
  );
}

test("a dispatch that finds no room waits, and starts when there is some", async (t) => {
  const { context, started, sent, receive, free } = fixture();
  await receive([dispatch("one")]);
  t.is(context.waitingRoom.length, 1);
  t.deepEqual(started, []);
  free();
  context.waitingRoom.clear();
  t.deepEqual(started, ["one"]);
  t.deepEqual(refusals(sent), []);
});

// The runner is full and told to stop; the room is emptied. A dispatch arrives
// that was sent before its entry heard of it. Did it wait, the process could end
// with it, and its entry would be in doubt over a request that never ran.
test("a dispatch to a full runner that is leaving is refused at once", async (t) => {
  const { context, started, sent, receive } = fixture();
  context.leaving = true;
  await receive([dispatch("one")]);
  t.is(context.waitingRoom.length, 0);
  t.deepEqual(refusals(sent), [wire.RefusalReason.Leaving]);
  t.deepEqual(started, []);
});

// Another entry settled the attempt: it is refused for good. There is nothing to
// wait for, whether or not there is room.
test("a tombstoned dispatch to a full runner does not wait", async (t) => {
  const { context, sent, receive } = fixture();
  context.table.settle(attempt("one"));
  await receive([dispatch("one")]);
  t.is(context.waitingRoom.length, 0);
  t.deepEqual(refusals(sent), [wire.RefusalReason.Tombstoned]);
});

// Two copies of a dispatch wait. The first starts. Were the second refused, its
// entry would run the request elsewhere too; were it started, it would run twice.
test("a second copy of a dispatch that waits is neither run nor refused", async (t) => {
  const { context, started, sent, receive, free } = fixture();
  await receive([dispatch("one"), dispatch("one")]);
  free();
  context.waitingRoom.clear();
  t.deepEqual(started, ["one"]);
  t.deepEqual(refusals(sent), []);
});

// Guards against a link that nobody reads any more and that looks sound to its entry, after
// a message on it could not be handled: the entry's requests would wait on it.
test("a link is closed and forgotten after a message that can't be handled", async (t) => {
  const { context, closed, receive } = fixture();
  context.state = () => {
    throw new Error("no state");
  };
  const question: wire.Message = {
    kind: wire.MessageKind.StateRequest,
    question: 1,
  };
  await t.throwsAsync(receive([question]), { message: "no state" });
  t.is(closed(), 1);
  t.is(context.links.size, 0);
});

// Guards against an attempt whose run throws: it stayed running, so that its caller waited
// until its deadline, and its place at the runner was gone.
test("an attempt whose run throws is finished as broken", async (t) => {
  const failed: unknown[] = [];
  const { context, receive, free } = fixture((_task, cause) =>
    failed.push(cause),
  );
  free();
  Object.defineProperty(context, "backEnd", {
    get: () => {
      throw new Error("no back end");
    },
  });
  await receive([dispatch("one")]);
  await common.nextTurn();
  const end = context.table.records.get("one")?.end;
  t.is(end?.kind, wire.EndKind.Broken);
  t.is(context.table.runningCount, 0);
  t.is(failed.length, 1);
});
