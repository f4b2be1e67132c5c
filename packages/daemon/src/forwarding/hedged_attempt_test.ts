import * as net from "node:net";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as plannedStop from "../shutdown/planned_stop.ts";
import * as callerRequest from "./caller_request.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";

const test = ava.default;

const { eventText, until } = forwardingFixture;
const WHOLE = { answerForm: traffic.AnswerForm.Whole };

function texts(...numbers: number[]): string {
  return numbers.map(eventText).join("");
}

// Two streams stall in the same moment while the budget allows one retry. Both
// attempts were given up before one of them paid; the other stream was broken
// off although its runner went on a moment later.
test("of two stalled streams with budget for one, neither is cut off", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    runners: ["i-1", "i-2", "i-3"],
    retries: 1,
  });
  const requests = ["q-1", "q-2"].map((name) => entry.send(name));
  await until(() => requests.every(({ calls }) => calls.length === 1));
  for (const { calls } of requests) {
    calls[0].begin();
    calls[0].send(eventText(1));
  }
  await until(() => requests.some(({ calls }) => calls.length > 1));
  for (const { calls } of requests) {
    calls[0].send(eventText(2));
    calls[0].end();
  }
  await Promise.all(requests.map(({ finished }) => finished));
  for (const { text, ended } of requests) {
    t.is(text, texts(1, 2));
    t.is(ended, "whole");
  }
  const calls = requests.flatMap((request) => request.calls);
  t.is(calls.length, 3);
  t.true(entry.budget.balance < 1);
});

// A runner is silent for a moment, and the other runner is full. The first
// attempt was given up before the other runner was asked, so the caller got an
// answer that broke off.
test("a stream goes on at its silent runner if the other runner refuses", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin();
  request.calls[0].send(eventText(1));
  await until(() => request.calls.length === 2);
  request.calls[1].refuse();
  request.calls[0].send(eventText(2));
  request.calls[0].end();
  await request.finished;
  t.is(request.text, texts(1, 2));
  t.is(request.ended, "whole");
  t.deepEqual(entry.attemptEnds("q"), ["answered", "not-run"]);
});

// The runner of a request whose answer is due at once takes longer than usual,
// and the other runner is full. The caller got 502 although the first runner
// finished its work.
test("a late complete answer is given if the other runner refuses", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ route: WHOLE });
  const request = entry.send("q");
  await until(() => request.calls.length === 2);
  request.calls[1].refuse();
  request.calls[0].begin();
  request.calls[0].send("done");
  request.calls[0].end();
  await request.finished;
  t.is(request.text, "done");
  t.is(request.ended, "whole");
});

// Both runners are silent for longer than the stall timeout. The first was
// given up, so its events were lost when it went on before the second.
test("a stream goes on at its first runner if the second is silent too", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin();
  request.calls[0].send(eventText(1));
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].call.resumeAfter, "1");
  request.calls[0].send(eventText(2));
  await until(() => request.calls[1].aborted);
  request.calls[0].send(eventText(3));
  request.calls[0].end();
  await request.finished;
  t.is(request.text, texts(1, 2, 3));
  t.is(request.ended, "whole");
});

const THREE = ["i-1", "i-2", "i-3"];

/** A request whose first runner is silent, with a second attempt beside it. */
async function sendHedged(
  entry: forwardingFixture.SteppedEntry,
): Promise<forwardingFixture.SentRequest> {
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  await until(() => request.calls.length === 2);
  return request;
}

// An entry that waited for the silent runner alone would keep its callers
// waiting for a frozen one, and a caller must not get pieces of two runs.
test("a stream goes on at the second runner once that sends an event", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin();
  request.calls[0].send(texts(1, 2));
  await until(() => request.calls.length === 2);
  const [first, second] = request.calls;
  t.is(second.call.resumeAfter, "2");
  second.begin();
  await until(() => entry.tracker.ownCounts().length === 2);
  t.false(first.aborted);
  second.send(eventText(3));
  await until(() => first.aborted);
  first.send(texts(3, 4));
  second.send(eventText(4));
  second.end();
  await request.finished;
  t.is(request.text, texts(1, 2, 3, 4));
  t.is(request.ended, "whole");
  t.deepEqual(entry.attemptEnds("q"), ["stalled", "answered"]);
  t.deepEqual(entry.tracker.ownCounts(), []);
});

// Bodies of two runs must not be mixed, and the slower run must not go on for
// nobody.
test("of two complete answers the first is given and the other attempt ends", async (t) => {
  for (const winner of [0, 1]) {
    const entry = new forwardingFixture.SteppedEntry({ route: WHOLE });
    const request = await sendHedged(entry);
    const loser = request.calls[1 - winner];
    for (const call of request.calls) {
      call.begin();
      call.send(call.runner);
    }
    request.calls[winner].end();
    await until(() => loser.aborted);
    loser.end();
    await request.finished;
    t.is(request.text, request.calls[winner].runner);
    t.deepEqual(entry.tracker.ownCounts(), []);
  }
});

// Both runners go on in the same moment, when both calls still hold what they
// sent. Without numbers in the events nothing else tells the two runs apart.
test("of two events that come together one is relayed", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = await sendHedged(entry);
  for (const call of request.calls) call.begin();
  await until(() => entry.tracker.ownCounts().length === 2);
  for (const call of request.calls) call.send("data: x\n\ndata: y\n\n");
  for (const call of request.calls) call.end();
  await request.finished;
  t.is(request.text, "data: x\n\ndata: y\n\n");
});

test("of two complete answers that come together one is given", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ route: WHOLE });
  const request = await sendHedged(entry);
  for (const call of request.calls) {
    call.begin();
    call.send("done");
    call.end();
  }
  await request.finished;
  t.is(request.text, "done");
  t.is(request.answers, 1);
});

// The attempt that got on breaks off at once, and the other ends a moment after
// it. What the log and the next attempt go by is the one that got on.
test("a superseded attempt does not decide how its request ends", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ retries: 1 });
  const request = await sendHedged(entry);
  const [first, second] = request.calls;
  first.endsLate = true;
  second.begin();
  second.send(eventText(1));
  second.breakOff();
  await until(() => first.aborted);
  await request.finished;
  t.is(entry.endOf("q"), "broken");
  t.deepEqual(entry.attemptEnds("q"), ["stalled", "broken"]);
});

// A connection that this entry gave up was taken for a runner that cannot be
// reached, and the runner got no requests for a while.
test("a runner is not suspended when its caller leaves before the connection is made", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].connected = false;
  request.leave();
  await request.finished;
  t.true(entry.tracker.runners().every(({ spared }) => !spared));
});

// The second runner had hardly time to answer. If losing counted as a failure,
// healthy runners would get fewer requests after each hedge.
test("an attempt that lost says nothing about its runner", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = await sendHedged(entry);
  request.calls[0].begin();
  request.calls[0].send(eventText(1));
  await until(() => request.calls[1].aborted);
  request.calls[0].end();
  await request.finished;
  t.deepEqual(entry.attemptEnds("q"), ["answered", "superseded"]);
  for (const { failureShare, spared } of entry.tracker.runners()) {
    t.is(failureShare, 0);
    t.false(spared);
  }
});

// The second runner is full. A third could serve the request at once, while its
// caller waits for the first.
test("after a refusal a third runner is tried beside the silent one", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ runners: THREE });
  const request = await sendHedged(entry);
  request.calls[1].refuse();
  await until(() => request.calls.length === 3);
  t.false(request.calls[0].aborted);
  request.calls[2].begin();
  request.calls[2].send(eventText(1));
  request.calls[2].end();
  await request.finished;
  t.is(request.text, texts(1));
  t.deepEqual(entry.attemptEnds("q"), ["stalled", "not-run", "answered"]);
  t.is(entry.budget.balance, 3);
});

// A permit for a runner with a rate limit is there only some turns of the event
// loop later. An attempt that was ready to start must not be lost on the way.
test("a second attempt goes to a runner with a rate limit", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  const [first] = request.calls;
  const other = ["i-1", "i-2"].find((name) => name !== first.runner);
  entry.limitRunner(other ?? "", 2);
  await until(() => request.calls.length === 2);
  request.calls[1].begin();
  request.calls[1].end();
  await request.finished;
  t.is(request.ended, "whole");
  t.is(entry.budget.balance, 4);
});

// The runner goes on while another attempt is prepared. Starting it all the same
// would cost a run and budget for nothing.
test("no second attempt is made if the first gets on meanwhile", async (t) => {
  let finishProbe = (_: common.Presence): void => {};
  const presence = new Promise<common.Presence>(
    (resolve) => (finishProbe = resolve),
  );
  const entry = new forwardingFixture.SteppedEntry({ presence });
  const request = entry.send("q");
  await until(() => entry.probes.length === 1);
  request.calls[0].begin();
  request.calls[0].send(eventText(1));
  await until(() => request.text !== "");
  finishProbe(common.Presence.Listening);
  request.calls[0].end();
  await request.finished;
  t.is(request.calls.length, 1);
  t.is(entry.budget.balance, 5);
});

// Attempts that are open may all run, so they count. More of them than the
// route allows would be more work than its service has room for.
test("open attempts count as runs", async (t) => {
  for (const mostAttempts of [2, 3]) {
    const route = { mostAttempts, timeoutMilliseconds: 2_300 };
    const setup = { route, runners: [...THREE, "i-4"] };
    const entry = new forwardingFixture.SteppedEntry(setup);
    const request = entry.send("q");
    await request.finished;
    t.is(request.calls.length, mostAttempts);
    t.true(request.calls.every(({ aborted }) => aborted));
    t.is(request.ended, "refused");
  }
});

test("a request that runs at most once has no second attempt beside a silent one", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    route: {
      repeatability: traffic.Repeatability.AtMostOnce,
      timeoutMilliseconds: 1_200,
    },
  });
  const request = entry.send("q");
  await request.finished;
  t.is(request.calls.length, 1);
  t.deepEqual(entry.attemptEnds("q"), ["timed-out"]);
});

// A runner that went on for a caller who left, or for a request that ran out of
// time, would work for nobody.
test("both attempts end when the caller leaves or time runs out", async (t) => {
  for (const timeoutMilliseconds of [5_000, 1_200]) {
    const route = { timeoutMilliseconds };
    const entry = new forwardingFixture.SteppedEntry({ route });
    const request = await sendHedged(entry);
    if (timeoutMilliseconds === 5_000) request.leave();
    await request.finished;
    t.true(request.calls.every(({ aborted }) => aborted));
    t.deepEqual(entry.tracker.ownCounts(), []);
  }
});

// A process that is killed with two attempts open would leave both its runners
// at work, and its caller without an answer.
test("both attempts end before a stopping entry is killed", async (t) => {
  const lifeCycle = new common.LifeCycle("test");
  const graceMilliseconds = 400;
  const stop = new plannedStop.PlannedStop({ graceMilliseconds, lifeCycle });
  const entry = new forwardingFixture.SteppedEntry({ stop });
  const request = await sendHedged(entry);
  stop.start();
  await request.finished;
  t.true(request.calls.every(({ aborted }) => aborted));
  t.deepEqual(entry.attemptEnds("q"), ["stopped", "stopped"]);
  t.is(request.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

// A request that crashes its runners is quarantined while two of them have it.
test("both attempts end when the request is quarantined", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = await sendHedged(entry);
  entry.holdRequest("q");
  await request.finished;
  t.true(request.calls.every(({ aborted }) => aborted));
  t.deepEqual(entry.attemptEnds("q"), ["quarantined", "quarantined"]);
  t.is(request.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

// A request that crashes its runners together with their hosts shows as
// silence. Without the run of the silent attempt the crash would count for
// nothing, and the request would go on from runner to runner.
test("the run of a silent attempt counts if its runner has crashed", async (t) => {
  const presence = common.Presence.Refused;
  const entry = new forwardingFixture.SteppedEntry({ presence });
  const request = await sendHedged(entry);
  t.deepEqual(entry.probes, [request.calls[0].runner]);
  const [crash] = entry.crashes;
  t.is(crash.runner, request.calls[0].runner);
  t.deepEqual(
    crash.runs.map((run) => run.request),
    ["q"],
  );
  request.calls[1].begin();
  request.calls[1].end();
  await request.finished;
  t.is(entry.probes.length, 1);
});

/** A connection to a runner, over which pieces of an answer travel. */
interface RunnerConnection {
  runnerSide: net.Socket;
  close(): void;
}

async function connectRunner(
  onPiece: (text: string) => void,
): Promise<RunnerConnection> {
  const server = net.createServer();
  const accepted = new Promise<net.Socket>((resolve) =>
    server.once("connection", resolve),
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const entrySide = net.connect(port, "127.0.0.1");
  entrySide.on("data", (piece) => onPiece(piece.toString()));
  const runnerSide = await accepted;
  const close = () => {
    runnerSide.destroy();
    entrySide.destroy();
    server.close();
  };
  return { runnerSide, close };
}

function holdUpEventLoop(milliseconds: number): void {
  const end = common.now() + milliseconds;
  while (common.now() < end);
}

// An entry is busy or suspended for most of a second while its runners send.
// Its timers run before it reads what waits in its sockets, so it took all its
// runners for silent and sent their requests elsewhere.
test("a runner is not silent while the entry's own event loop is held up", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  const [call] = request.calls;
  const connection = await connectRunner((text) => call.send(text));
  call.begin();
  call.send(eventText(1));
  await until(() => request.text === texts(1));
  connection.runnerSide.write(eventText(2));
  holdUpEventLoop(1_000);
  await until(() => request.text === texts(1, 2));
  connection.close();
  call.end();
  await request.finished;
  t.is(request.calls.length, 1);
  t.is(request.ended, "whole");
});

// A caller takes nothing for longer than the stall timeout, so the entry reads
// nothing from the runner, which was taken for silent.
test("a runner is not silent while its caller takes nothing", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    route: { timeoutMilliseconds: 1_500 },
  });
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  const [call] = request.calls;
  request.blocked = true;
  call.begin();
  call.send(eventText(1));
  await until(() => call.aborted);
  request.blocked = false;
  await request.finished;
  t.deepEqual(entry.attemptEnds("q"), ["timed-out"]);
});

// A long body arrives piece by piece, for longer than an answer usually takes.
// Only its head counted as a sign of life, so the request was sent elsewhere in
// the middle of the body.
test("a runner whose answer is still arriving is not silent", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ route: WHOLE });
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  const [call] = request.calls;
  call.begin();
  for (let piece = 0; piece < 12; piece++) {
    call.send("x");
    await common.sleep(50);
  }
  call.end();
  await request.finished;
  t.is(request.calls.length, 1);
  t.is(request.text, "x".repeat(12));
});
