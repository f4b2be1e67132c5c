import * as ava from "ava";
import * as traffic from "@geraniumkeel/traffic";
import type * as answerTimer from "./answer_timer.ts";
import * as slowRunners from "./slow_runners.ts";

const test = ava.default;

const GAP = 120;
const OBJECTIVE = 400;
/** Time between two events of a healthy runner. */
const EVENT = 30;
/** Time of the whole answer of a healthy plain runner. */
const ANSWER = 80;
/** Factor by which a slow runner's times are longer. */
const SLOWDOWN = 12;

/** Every runner may get requests. */
const ALL = () => true;

/** Runners whose answers arrive in virtual time. */
class World {
  time = 0;
  /** Time in which no answer was read. */
  idleTime = 0;
  readonly changes: string[] = [];
  readonly slow: slowRunners.SlowRunners;

  constructor(
    lockStep: boolean,
    readonly answerForm = traffic.AnswerForm.Events,
  ) {
    this.slow = new slowRunners.SlowRunners({
      now: () => this.time,
      monotonicNow: () => this.time + this.idleTime,
      inLockStep: () => lockStep,
      onChange: (identifier, isSlow) =>
        this.changes.push(`${identifier} ${isSlow ? "slow" : "recovered"}`),
    });
  }

  send(identifier: string, hadFreeSlot = true): answerTimer.AnswerTimer {
    return this.slow.time({
      runner: { identifier, service: "s" },
      route: {
        answerForm: this.answerForm,
        gapMilliseconds: GAP,
        objectiveMilliseconds: OBJECTIVE,
      },
      hadFreeSlot,
    });
  }

  /** Lets an event of each stream arrive in every period of it. */
  run(
    milliseconds: number,
    streams: { timer: answerTimer.AnswerTimer; period: number }[],
  ): void {
    const end = this.time + milliseconds;
    for (; this.time < end; this.time++) {
      for (const { timer, period } of streams) {
        if (this.time % period !== 0) continue;
        timer.noteEvent();
        timer.noteRead();
      }
    }
  }

  /** Has a runner give a whole answer. */
  answer(identifier: string, milliseconds: number, hadFreeSlot = true): void {
    const timer = this.send(identifier, hadFreeSlot);
    this.time += milliseconds;
    timer.noteWhole();
    timer.end();
  }
}

/** A service in lock-step with a stream at `a-0` and `b-0`, in two groups. */
function worldOfTwoGroups() {
  const world = new World(true);
  const [first, second] = [world.send("a-0"), world.send("b-0")];
  world.run(300, [
    { timer: first, period: EVENT },
    { timer: second, period: EVENT },
  ]);
  return { world, first, second };
}

// One rank at a twelfth of its speed slows its group. Entries that learn it
// only after seconds go on sending half of the requests there, all of them late.
test("a rank of a slow group is found within 400 ms, and the other group is not", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  world.run(400, [
    { timer: first, period: EVENT * SLOWDOWN },
    { timer: second, period: EVENT },
  ]);
  t.true(world.slow.isSlow("a-0"));
  t.false(world.slow.isSlow("b-0"));
});

// The ranks of the slow group from which this entry has no stream look as they
// did before. If each had to be found with a request, an entry would lose as
// many requests as the group has ranks.
test("while a group is slow, ranks not heard from since are avoided as well", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  const streams = [
    { timer: first, period: EVENT * SLOWDOWN },
    { timer: second, period: EVENT },
  ];
  world.run(400, streams);
  world.slow.avoidance("s", ALL);
  world.run(100, streams);
  const isAvoided = world.slow.avoidance("s", ALL);
  t.deepEqual(["a-0", "a-1", "b-0", "b-1"].map(isAvoided), [
    true,
    true,
    false,
    true,
  ]);
});

// The data centre of a slow rank is evacuated. Its mark would keep the ranks of
// a sound group without requests until each of them had sent something.
test("a slow rank that may not get requests makes no other rank avoided", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  const streams = [
    { timer: first, period: EVENT * SLOWDOWN },
    { timer: second, period: EVENT },
  ];
  const avoidedIf = (isCandidate: (identifier: string) => boolean) =>
    ["a-0", "a-1", "b-0", "b-1"].filter(world.slow.avoidance("s", isCandidate));
  world.run(400, streams);
  avoidedIf(ALL);
  world.run(100, streams);
  t.deepEqual(avoidedIf(ALL), ["a-0", "a-1", "b-1"]);
  t.deepEqual(
    avoidedIf((identifier) => identifier !== "a-0"),
    ["a-0"],
  );
  // No candidate is known to be fast, so only the slow one is avoided.
  t.deepEqual(
    avoidedIf((identifier) => identifier !== "b-0"),
    ["a-0"],
  );
});

test("a rank that has recovered is found with four events, and with it the ranks without requests", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  const third = world.send("a-1");
  const slow = [first, third].map((timer) => ({
    timer,
    period: EVENT * SLOWDOWN,
  }));
  world.run(2_000, [...slow, { timer: second, period: EVENT }]);
  t.true(world.slow.isSlow("a-1"));
  third.end();
  world.run(EVENT * (SLOWDOWN + 4), [
    { timer: first, period: EVENT },
    { timer: second, period: EVENT },
  ]);
  const isAvoided = world.slow.avoidance("s", ALL);
  t.deepEqual(["a-0", "a-1", "b-0", "b-1"].filter(isAvoided), []);
});

// All ranks of a service with one group stand at the pace of the slowest. The
// entry has streams at few of them. If it compared these with what the others
// sent before, it would crowd the requests of a stalled group on ranks that are
// no faster.
for (const { name, period } of [
  { name: "runs at a twelfth of its speed", period: EVENT * SLOWDOWN },
  { name: "has stopped", period: Infinity },
]) {
  test(`when the only group ${name}, no rank is avoided`, (t) => {
    const world = new World(true);
    const identifiers = Array.from({ length: 63 }, (_, rank) => `i-${rank}`);
    for (const identifier of identifiers) {
      const timer = world.send(identifier);
      world.run(300, [{ timer, period: EVENT }]);
      timer.end();
    }
    const streams = [0, 1, 2].map((rank) => world.send(`i-${rank}`));
    const runAll = (milliseconds: number, each: number) => {
      const paced = streams.map((timer) => ({ timer, period: each }));
      for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
        world.run(50, paced);
        const isAvoided = world.slow.avoidance("s", ALL);
        t.deepEqual(identifiers.filter(isAvoided), []);
      }
    };
    runAll(600, EVENT);
    runAll(2_000, period);
    // A stream that begins when the group runs again saw nothing of the pause.
    streams.push(world.send("i-3"));
    runAll(600, EVENT);
  });
}

// One lost packet delays an event of a stream by a few hundred milliseconds.
test("one event that is 150 ms late does not make a rank slow", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  const other = { timer: second, period: EVENT };
  world.run(EVENT + 150, [other]);
  t.false(world.slow.isSlow("a-0"));
  world.run(300, [{ timer: first, period: EVENT }, other]);
  t.false(world.slow.isSlow("a-0"));
});

// A caller that takes its answer slowly makes the events of its stream appear
// late, whatever the runner does.
test("a caller that takes nothing does not make its runner slow", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  const other = { timer: second, period: EVENT };
  for (let event = 0; event < 5; event++) {
    first.noteEvent();
    world.run(500, [other]);
    first.noteRead();
    world.run(EVENT, [other]);
    t.false(world.slow.isSlow("a-0"));
  }
});

test("a slow rank gets a probe only when this entry has no request there, and at most every tenth request", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  world.run(1_000, [
    { timer: first, period: EVENT * SLOWDOWN },
    { timer: second, period: EVENT },
  ]);
  const avoided = ["a-0", "a-1"];
  const probes = (requests: number) =>
    Array.from(
      { length: requests },
      () => world.slow.probeTargets("s", avoided).length > 0,
    ).filter(Boolean).length;
  t.is(probes(30), 0);
  first.end();
  t.is(probes(30), 3);
});

test("a plain runner that answers at a twelfth of its speed is slow until it has recovered", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  const all = ["p-0", "p-1", "p-2", "p-3"];
  for (let round = 0; round < 5; round++) {
    for (const runner of all) world.answer(runner, ANSWER);
  }
  world.answer("p-0", ANSWER * SLOWDOWN);
  t.deepEqual(all.filter(world.slow.avoidance("s", ALL)), ["p-0"]);
  t.deepEqual(world.slow.probeTargets("s", ["p-0"]), []);
  for (let request = 0; request < 4; request++) world.answer("p-0", ANSWER);
  t.deepEqual(all.filter(world.slow.avoidance("s", ALL)), []);
  t.deepEqual(world.changes, ["p-0 slow", "p-0 recovered"]);
});

// The caller of a slow plain runner may give up before the answer comes. If
// only complete answers counted, the runner would never be found.
test("a plain runner is slow while an answer is overdue", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  for (const runner of ["p-0", "p-1", "p-2"]) world.answer(runner, ANSWER);
  const timer = world.send("p-0");
  world.time += ANSWER * SLOWDOWN;
  t.true(world.slow.isSlow("p-0"));
  timer.end();
  t.true(world.slow.isSlow("p-0"));
});

// A refusal comes at once. If it counted as a quick answer, a slow runner that
// refuses requests would get more of them.
test("a refused request does not make a slow runner look healthy", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  for (const runner of ["p-0", "p-1", "p-2"]) world.answer(runner, ANSWER);
  world.answer("p-0", ANSWER * SLOWDOWN);
  for (let request = 0; request < 20; request++) {
    const refused = world.send("p-0");
    world.time++;
    refused.end();
  }
  t.true(world.slow.isSlow("p-0"));
});

// Under load an answer waits in the queue of its runner. That is no reason to
// avoid the runner for longer than its queue lasts.
test("answers that waited in a queue do not make a runner slow", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  for (const runner of ["p-0", "p-1", "p-2"]) world.answer(runner, ANSWER);
  for (let request = 0; request < 5; request++)
    world.answer("p-0", ANSWER * SLOWDOWN, false);
  t.false(world.slow.isSlow("p-0"));
});

test("a runner that has restarted is no longer slow", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  for (const runner of ["p-0", "p-1", "p-2"]) world.answer(runner, ANSWER);
  const old = world.send("p-0");
  for (let request = 0; request < 3; request++)
    world.answer("p-0", ANSWER * SLOWDOWN);
  t.true(world.slow.isSlow("p-0"));
  world.slow.forget("p-0");
  world.time += ANSWER * SLOWDOWN;
  old.noteWhole();
  t.false(world.slow.isSlow("p-0"));
});

// A mark that only probes could end lasted 53 s at 0.75 requests a second, and
// for ever without traffic, when the clock of answers stands still as well.
test("without requests a runner stays slow for 2 s at most, and its next slow answer is enough to find it again", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  for (const runner of ["p-0", "p-1", "p-2"]) world.answer(runner, ANSWER);
  for (let request = 0; request < 20; request++)
    world.answer("p-0", ANSWER * SLOWDOWN);
  t.true(world.slow.isSlow("p-0"));
  world.idleTime += 1_000;
  t.true(world.slow.isSlow("p-0"));
  world.idleTime += 1_000;
  t.false(world.slow.isSlow("p-0"));
  world.idleTime += 60_000;
  world.answer("p-0", ANSWER * SLOWDOWN);
  t.true(world.slow.isSlow("p-0"));
});

// Time in which a slow runner keeps a request waiting is no sign of recovery.
test("a slow runner stays slow while an answer of it is awaited", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  for (const runner of ["p-0", "p-1", "p-2"]) world.answer(runner, ANSWER);
  world.answer("p-0", ANSWER * SLOWDOWN);
  world.send("p-0", false);
  world.idleTime += 10_000;
  t.true(world.slow.isSlow("p-0"));
});

// An operator who sees the event that a runner became slow would otherwise wait
// for its end for ever once the runner is gone.
test("the end of a slow mark is reported once when its runner is forgotten", (t) => {
  const world = new World(false, traffic.AnswerForm.Whole);
  for (const runner of ["p-0", "p-1", "p-2"]) world.answer(runner, ANSWER);
  world.answer("p-0", ANSWER * SLOWDOWN);
  world.slow.avoidance("s", ALL);
  for (const runner of ["p-0", "p-1", "p-0"]) world.slow.forget(runner);
  t.deepEqual(world.changes, ["p-0 slow", "p-0 recovered"]);
});

// With 400 streams open at a group that stands still, each choice compared up to
// 160000 pairs of streams, and a backlog of requests has many choices at once.
test("choices within 25 ms do not compare the streams again, and a forgotten runner is not avoided", (t) => {
  const { world, first, second } = worldOfTwoGroups();
  const streams = [
    { timer: first, period: EVENT * SLOWDOWN },
    { timer: second, period: EVENT },
  ];
  world.run(400, streams);
  let comparisons = 0;
  const meanEventTime = second.meanEventTime.bind(second);
  second.meanEventTime = (from, to) => {
    comparisons++;
    return meanEventTime(from, to);
  };
  for (let choice = 0; choice < 100; choice++)
    t.true(world.slow.avoidance("s", ALL)("a-0"));
  t.is(comparisons, 1);
  world.run(25, streams);
  world.slow.avoidance("s", ALL);
  t.is(comparisons, 2);
  world.slow.forget("a-0");
  t.false(world.slow.avoidance("s", () => false)("a-0"));
});
