import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as urgencyQueue from "../admission/urgency_queue.ts";
import * as plannedStop from "../shutdown/planned_stop.ts";
import * as callerRequest from "./caller_request.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";

const test = ava.default;

const { eventText, until } = forwardingFixture;

/** Queue of the only service; throws if admission does not apply to it. */
function queueOf(
  entry: forwardingFixture.SteppedEntry,
): urgencyQueue.UrgencyQueue {
  const queue = entry.admission.queueOf("s");
  if (!queue) throw new Error("admission does not apply");
  return queue;
}

/**
 * An entry with four runners of one slot and measured durations: a request may
 * wait for 150 ms here, and not in the queue of a runner.
 */
function createSmallEntry(
  setup: forwardingFixture.EntrySetup = {},
): forwardingFixture.SteppedEntry {
  const entry = new forwardingFixture.SteppedEntry({
    route: { objectiveMilliseconds: 400 },
    runners: ["i-1", "i-2", "i-3", "i-4"],
    slots: 1,
    otherUrgencies: [0, 2],
    ...setup,
  });
  queueOf(entry).noteStream(150);
  queueOf(entry).noteFirstEvent(50);
  return entry;
}

/** Sends as many requests as there are slots, and begins a report interval. */
function fill(
  entry: forwardingFixture.SteppedEntry,
): forwardingFixture.SentRequest[] {
  const sent = [1, 2, 3, 4].map((number) => entry.send(`first-${number}`));
  entry.admission.report();
  return sent;
}

/** Requests in progress and waiting, over all urgencies. */
function countsOf(entry: forwardingFixture.SteppedEntry): {
  running: number;
  waiting: number;
} {
  let running = 0;
  let waiting = 0;
  for (const item of queueOf(entry).describe().urgencies) {
    running += item.running;
    waiting += item.waiting;
  }
  return { running, waiting };
}

function answer(sent: forwardingFixture.SentRequest): void {
  const [call] = sent.calls.slice(-1);
  call.begin();
  call.send(eventText(1));
  call.end();
}

// A configuration in which one urgency uses the service must not change what
// its requests go through: a turn of the event loop more delays each of them.
test("without routes of several urgencies a request is sent in the turn in which it arrives", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ slots: 1 });
  const sent = Array.from({ length: 5 }, (_, index) =>
    entry.send(`q-${index}`),
  );
  t.true(sent.every(({ calls }) => calls.length === 1));
  t.is(entry.admission.queueOf("s"), undefined);
  t.is(entry.admission.report(), undefined);
  for (const request of sent) answer(request);
  await Promise.all(sent.map(({ finished }) => finished));
  t.true(sent.every(({ ended }) => ended === "whole"));
});

test("a request that finds capacity is sent in the turn in which it arrives", async (t) => {
  const entry = createSmallEntry();
  const sent = entry.send("q");
  t.is(sent.calls.length, 1);
  t.deepEqual(countsOf(entry), { running: 1, waiting: 0 });
  answer(sent);
  await sent.finished;
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

test("a request without capacity waits and is sent when a place is freed", async (t) => {
  const entry = createSmallEntry();
  const [first, ...rest] = fill(entry);
  const second = entry.send("q-2");
  t.is(second.calls.length, 0);
  t.deepEqual(countsOf(entry), { running: 4, waiting: 1 });
  answer(first);
  await until(() => second.calls.length === 1);
  for (const sent of [second, ...rest]) answer(sent);
  await Promise.all([first, second, ...rest].map((sent) => sent.finished));
  t.is(second.ended, "whole");
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

test("a request that waits for too long is refused as not run, with a retry delay and its reason", async (t) => {
  const entry = createSmallEntry();
  const [first, ...rest] = fill(entry);
  const second = entry.send("q-2");
  await second.finished;
  t.is(second.ended, "refused");
  t.is(second.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.true((second.refusal?.retryAfterMilliseconds ?? 0) > 0);
  const line = entry.logger.events.find(
    ({ code, fields }) =>
      code === common.EventCode.Forwarded && fields.request === "q-2",
  );
  const admission = line?.fields.admission as { inputs: { capacity: number } };
  t.is(admission.inputs.capacity, 4);
  for (const sent of [first, ...rest]) answer(sent);
  await Promise.all([first, ...rest].map((sent) => sent.finished));
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

test("a waiting request goes to no runner once its caller has disconnected", async (t) => {
  const entry = createSmallEntry();
  const [first, ...rest] = fill(entry);
  const second = entry.send("q-2");
  second.leave();
  await second.finished;
  t.is(entry.endOf("q-2"), "left");
  t.deepEqual(countsOf(entry), { running: 4, waiting: 0 });
  for (const sent of [first, ...rest]) answer(sent);
  await Promise.all([first, ...rest].map((sent) => sent.finished));
  t.is(second.calls.length, 0);
});

// A request whose runner refuses it goes to another runner. If it asked for a
// place again, it would wait behind new requests, and count twice.
test("a retry after a runner's refusal takes no second place", async (t) => {
  const entry = createSmallEntry({ runners: ["i-1", "i-2"] });
  const sent = entry.send("q");
  sent.calls[0].refuse();
  await until(() => sent.calls.length === 2);
  t.deepEqual(countsOf(entry), { running: 1, waiting: 0 });
  answer(sent);
  await sent.finished;
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

test("a waiting request leaves the queue when it is quarantined", async (t) => {
  const entry = createSmallEntry();
  const sent = fill(entry);
  const waiting = entry.send("q");
  entry.holdRequest("q");
  await waiting.finished;
  t.is(entry.endOf("q"), "quarantined");
  t.deepEqual(countsOf(entry), { running: 4, waiting: 0 });
  for (const request of sent) answer(request);
  await Promise.all(sent.map(({ finished }) => finished));
});

// A request whose caller waits for less than its turn takes ends when its time
// runs out, and not when its turn comes.
test("a waiting request leaves the queue when its time runs out", async (t) => {
  const entry = createSmallEntry();
  const sent = fill(entry);
  const waiting = entry.send("q", {
    path: "/0/b",
    timeoutMilliseconds: 40,
  });
  await waiting.finished;
  t.is(entry.endOf("q"), "timed-out");
  t.is(waiting.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.deepEqual(countsOf(entry), { running: 4, waiting: 0 });
  for (const request of sent) answer(request);
  await Promise.all(sent.map(({ finished }) => finished));
});

// While an entry stops it takes only what it can finish. A request that waits
// for a place and would end after the process is refused at once.
test("a waiting request that cannot be finished leaves the queue when the entry stops", async (t) => {
  const lifeCycle = new common.LifeCycle("test");
  t.teardown(() => lifeCycle.close());
  const stop = new plannedStop.PlannedStop({
    graceMilliseconds: 1_000,
    lifeCycle,
  });
  const entry = createSmallEntry({ stop });
  const sent = fill(entry);
  const waiting = entry.send("q");
  stop.start();
  await waiting.finished;
  t.is(entry.endOf("q"), "stopped");
  t.deepEqual(countsOf(entry), { running: 4, waiting: 0 });
  for (const request of sent) answer(request);
  await Promise.all(sent.map(({ finished }) => finished));
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

// The attempt of a request ends in any of several ways; a place that stays taken
// is lost until the process ends.
test("a place is freed if the runner fails, the connection breaks or the caller leaves", async (t) => {
  const entry = createSmallEntry({ retries: 0 });
  const [failed, broken, left, answered] = fill(entry);
  failed.calls[0].fail("error");
  broken.calls[0].begin();
  broken.calls[0].breakOff();
  left.leave();
  answer(answered);
  const all = [failed, broken, left, answered];
  await Promise.all(all.map(({ finished }) => finished));
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

test("a hedged attempt takes no second place", async (t) => {
  const entry = createSmallEntry();
  const sent = entry.send("q");
  sent.calls[0].begin();
  sent.calls[0].send(eventText(1));
  await until(() => sent.calls.length === 2);
  t.deepEqual(countsOf(entry), { running: 1, waiting: 0 });
  sent.calls[1].begin();
  sent.calls[1].send(eventText(2));
  await until(() => sent.calls[0].aborted);
  sent.calls[1].end();
  await sent.finished;
  t.is(sent.ended, "whole");
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

test("the more urgent of two waiting requests is sent first", async (t) => {
  const entry = createSmallEntry();
  const [first, ...rest] = fill(entry);
  const usual = entry.send("q-2");
  const urgent = entry.send("q-3", { path: "/0/b" });
  answer(first);
  await until(() => urgent.calls.length === 1);
  t.is(usual.calls.length, 0);
  for (const sent of [urgent, ...rest]) answer(sent);
  await until(() => usual.calls.length === 1);
  answer(usual);
  const all = [first, urgent, usual, ...rest];
  await Promise.all(all.map((sent) => sent.finished));
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

// All runners of a group refuse requests for a moment. One request probes them,
// the others wait and are sent when the group is back.
test("requests wait while the runners stand still, and one of them probes", async (t) => {
  const entry = createSmallEntry({ slots: 8, runners: ["i-1"], retries: 20 });
  const first = entry.send("q-1");
  first.calls[0].refuse();
  await until(() => entry.tracker.isRefusing("i-1"));
  const others = [2, 3, 4].map((number) => entry.send(`q-${number}`));
  t.true(others.every(({ calls }) => calls.length === 0));
  t.deepEqual(countsOf(entry), { running: 1, waiting: 3 });
  await until(() => first.calls.length === 2);
  answer(first);
  await until(() => others.every(({ calls }) => calls.length === 1));
  for (const other of others) answer(other);
  const all = [first, ...others];
  await Promise.all(all.map(({ finished }) => finished));
  t.true(all.every(({ ended }) => ended === "whole"));
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});

// A group that lost a rank refuses all requests for about a second. Each entry
// tried one runner after another, with every request that arrived.
test("once a runner of a group refuses, requests wait until one of the group takes a request", async (t) => {
  const runners = Array.from({ length: 12 }, (_, index) => `i-${index + 1}`);
  const setup = { slots: 8, runners, retries: 20, inLockStep: true };
  const entry = createSmallEntry(setup);
  const first = entry.send("q-1");
  first.calls[0].refuse();
  await until(() => entry.tracker.hasGroupRefused("s"));
  const others = [2, 3, 4, 5].map((number) => entry.send(`q-${number}`));
  await until(() => first.calls.length > 1);
  const sent = () => [first, ...others].flatMap(({ calls }) => calls);
  // The first request goes on by its retries, and one other probes.
  t.true(sent().length <= 3);
  t.true(countsOf(entry).waiting >= 3);
  answer(first);
  await until(() => others.every(({ calls }) => calls.length === 1));
  for (const other of others) answer(other);
  await Promise.all([first, ...others].map(({ finished }) => finished));
  t.deepEqual(countsOf(entry), { running: 0, waiting: 0 });
});
