import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as limitSource from "./limit_source.ts";
import * as rateLimitsFixture from "./rate_limits_fixture.ts";

const test = ava.default;

const WARM = runnerFixture.createRunner();
const COLD = runnerFixture.createRunner({ warmingUp: true });
const RATE = 23;
const WINDOW_MILLISECONDS = 1_000;
/** A second of hold-off, and the time in which the first questions are denied. */
const SETTLED_MILLISECONDS = 1_500;
/** Latest time after its turn at which a request still has its permit. */
const LATEST_MILLISECONDS = 240;
/** More requests a second, at all entries together, than a cold runner may get. */
const DEMAND = 120;

function mostAllowed(perSecond: number): number {
  return 1.5 * perSecond + 5;
}

function hostsOf(count: number): string[] {
  return Array.from({ length: count }, (_, number) => `e${number}`);
}

/** Adds entries whose callers send so much together, each at moments of its own. */
function addEntries(
  simulated: rateLimitsFixture.SimulatedEntries,
  count: number,
  demand: number,
): void {
  const random = new common.Random(1);
  simulated.add(hostsOf(count), demand / count);
  for (const entry of simulated.entries.values()) {
    entry.due = random.between(0, 1);
    entry.turn = Math.floor(random.between(0, 9));
  }
}

/** Entries that have known each other for seconds, under load. */
async function startEntries(
  count: number,
  runners: traffic.RunnerEntry[] = [WARM],
): Promise<rateLimitsFixture.SimulatedEntries> {
  const simulated = new rateLimitsFixture.SimulatedEntries();
  simulated.warmUpRate = RATE;
  const random = new common.Random(count);
  simulated.lateness = () => random.between(0, LATEST_MILLISECONDS);
  addEntries(simulated, count, DEMAND);
  simulated.list(runners);
  await simulated.run(3_000, runners, undefined);
  return simulated;
}

/** Entries that have known for a moment that the runner warms up. */
async function startCold(
  count: number,
): Promise<rateLimitsFixture.SimulatedEntries> {
  const simulated = await startEntries(count);
  simulated.list([COLD]);
  await simulated.run(SETTLED_MILLISECONDS, COLD, undefined);
  return simulated;
}

function limitsAt(
  simulated: rateLimitsFixture.SimulatedEntries,
  host: string,
): { allocator: string; source: string; perSecond: number; share: number }[] {
  return simulated.at(host).limits.describe() as never;
}

function allocatorOf(simulated: rateLimitsFixture.SimulatedEntries): string {
  return limitsAt(simulated, "e0")[0].allocator;
}

function mostIn(
  simulated: rateLimitsFixture.SimulatedEntries,
  from: number,
): number {
  return simulated.mostInWindow(COLD, from, WINDOW_MILLISECONDS);
}

for (const count of [6, 30, 53]) {
  // Guards against a bound that each entry keeps for itself: the runner crashes.
  test(`a runner that turns cold in the middle of traffic gets its rate from ${count} entries`, async (t) => {
    const simulated = await startEntries(count);
    t.true(mostIn(simulated, simulated.now - 1_000) > 2 * mostAllowed(RATE));
    simulated.list([COLD]);
    // What was sent before the entries knew arrives within this time.
    await simulated.run(LATEST_MILLISECONDS + 20, COLD, undefined);
    const from = simulated.now;
    await simulated.run(10_000, COLD, undefined);
    const most = mostIn(simulated, from + WINDOW_MILLISECONDS);
    t.true(most <= mostAllowed(RATE), `${most} in one second`);
    const inAll = simulated.countSince(COLD, from + 1_500);
    t.true(inAll >= 0.8 * RATE * 8.5, `${inAll} in 8.5 s`);
    simulated.list([WARM]);
    const warmFrom = simulated.now;
    await simulated.run(2_000, WARM, undefined);
    t.true(simulated.countSince(WARM, warmFrom) > 0.8 * 2 * DEMAND);
    t.deepEqual(limitsAt(simulated, "e0"), []);
  });

  // Guards against entries that take themselves for the only one: each would send
  // the whole rate.
  test(`${count} entries that each know only themselves send nothing to a cold runner`, async (t) => {
    const simulated = new rateLimitsFixture.SimulatedEntries();
    simulated.warmUpRate = RATE;
    simulated.cut(hostsOf(count), hostsOf(count));
    simulated.add(hostsOf(count), 5);
    simulated.list([COLD]);
    await simulated.run(90_000, COLD, undefined);
    t.is(simulated.countSince(COLD, 0), 0);
  });

  // Guards against entries that, hearing nobody for a minute while they reach the
  // store, count all others as gone.
  test(`${count} entries that lost each other send nothing to a cold runner, until they are linked again`, async (t) => {
    const simulated = await startEntries(count, []);
    simulated.cut(hostsOf(count), hostsOf(count));
    await simulated.run(2_000, [], undefined);
    simulated.list([COLD]);
    await simulated.run(90_000, COLD, undefined);
    t.is(simulated.countSince(COLD, 0), 0);
    simulated.heal();
    const from = simulated.now;
    await simulated.run(6_000, COLD, undefined);
    t.true(mostIn(simulated, from) <= mostAllowed(RATE));
    t.true(simulated.countSince(COLD, from + 2_000) >= 0.8 * RATE * 4);
  });

  // Guards against a burst of all entries at the moment in which they start: all
  // lost power, and so did the runners.
  test(`all of ${count} entries restart while a third of the runners is cold`, async (t) => {
    const runners = Array.from({ length: 9 }, (_, place) =>
      runnerFixture.createRunner({
        identifier: `i-${place}`,
        port: 80 + place,
        warmingUp: place % 3 === 0,
      }),
    );
    const simulated = await startEntries(count, runners);
    for (const host of hostsOf(count)) simulated.kill(host);
    addEntries(simulated, count, 9 * DEMAND);
    simulated.list(runners);
    const from = simulated.now;
    await simulated.run(6_000, runners, undefined);
    for (const runner of runners.filter(({ warmingUp }) => warmingUp)) {
      const most = simulated.mostInWindow(runner, from, WINDOW_MILLISECONDS);
      t.true(most <= mostAllowed(RATE), `${most} at ${runner.identifier}`);
      const used = simulated.countSince(runner, from + 2_000);
      t.true(used >= 0.8 * RATE * 4, `${used} at ${runner.identifier}`);
    }
  });
}

/** Trouble of the entries while a runner warms up. */
const TROUBLES: Record<
  string,
  (simulated: rateLimitsFixture.SimulatedEntries) => void
> = {
  "the allocator is killed": (simulated) =>
    simulated.kill(allocatorOf(simulated)),
  "the allocator leaves": (simulated) => {
    simulated.at(allocatorOf(simulated)).leaving = true;
  },
  "the allocator freezes": (simulated) => {
    simulated.at(allocatorOf(simulated)).frozen = true;
  },
  "the allocator is cut off from all": (simulated) =>
    simulated.cut([allocatorOf(simulated)], [...simulated.entries.keys()]),
  "the allocator and one other do not see each other": (simulated) => {
    const host = allocatorOf(simulated);
    const [other] = [...simulated.entries.keys()].filter((one) => one !== host);
    simulated.cut([host], [other]);
  },
  "a minority that has the allocator is cut off": (simulated) => {
    const host = allocatorOf(simulated);
    const others = [...simulated.entries.keys()].filter((one) => one !== host);
    const minority = Math.floor(others.length / 2) - 1;
    const part = [host, ...others.slice(0, minority)];
    simulated.cut(part, others.slice(minority));
  },
  "two entries are added": (simulated) => {
    simulated.add(["n0", "n1"], 5);
    simulated.list([COLD], ["n0", "n1"]);
  },
};

for (const [count, seconds] of [
  // Longer than the time after which silent entries count as gone.
  [6, 70],
  [30, 10],
  [53, 10],
]) {
  for (const [title, begin] of Object.entries(TROUBLES)) {
    // Guards against two entries that allocate at once, and against two bursts.
    test(`${count} entries keep the bound while ${title}, and after`, async (t) => {
      const simulated = await startCold(count);
      const from = simulated.now;
      begin(simulated);
      await simulated.run(seconds * 1_000, COLD, undefined);
      const meanwhile = simulated.countSince(COLD, from + 3_000);
      const least = 0.8 * RATE * (seconds - 3);
      t.true(meanwhile >= least, `${meanwhile}, ${least} expected`);
      for (const entry of simulated.entries.values()) entry.frozen = false;
      simulated.heal();
      const healedAt = simulated.now;
      await simulated.run(8_000, COLD, undefined);
      const most = mostIn(simulated, from);
      t.true(most <= mostAllowed(RATE), `${most} in one second`);
      const used = simulated.countSince(COLD, healedAt + 3_000);
      t.true(used >= 0.8 * RATE * 5, `${used} in the last 5 s`);
    });
  }
}

// Guards against halves that each count the other as gone after a minute.
test("of two halves neither sends to a cold runner, and both after the cut", async (t) => {
  const simulated = await startCold(6);
  const [left, right] = [hostsOf(6).slice(0, 3), hostsOf(6).slice(3)];
  simulated.cut(left, right);
  await simulated.run(3_000, COLD, undefined);
  const from = simulated.now;
  await simulated.run(90_000, COLD, undefined);
  t.is(simulated.countSince(COLD, from), 0);
  simulated.heal();
  await simulated.run(6_000, COLD, undefined);
  t.true(mostIn(simulated, from) <= mostAllowed(RATE));
  t.true(simulated.countSince(COLD, from) >= 0.8 * RATE * 3);
});

// Guards against promised turns that are sent late, together with later ones.
test("the bound holds for requests that wait for their turn and are sent late", async (t) => {
  for (const demand of [40, 120, 400]) {
    const simulated = await startEntries(6, []);
    simulated.maxDelayMilliseconds = 1_500;
    for (const entry of simulated.entries.values()) entry.demand = demand / 6;
    simulated.list([COLD]);
    const from = simulated.now;
    await simulated.run(6_000, COLD, undefined);
    simulated.kill(allocatorOf(simulated));
    await simulated.run(6_000, COLD, undefined);
    const most = mostIn(simulated, from);
    t.true(most <= mostAllowed(RATE), `${most} in one second`);
    t.true(simulated.countSince(COLD, from) >= 0.8 * RATE * 9);
  }
});

for (const rate of [0.1, 1, 5, 200]) {
  // Guards against bursts that only a high rate makes room for.
  test(`the bound holds at a rate of ${rate}`, async (t) => {
    const simulated = await startEntries(6, []);
    simulated.warmUpRate = rate;
    for (const entry of simulated.entries.values()) entry.demand = 50;
    simulated.list([COLD]);
    const from = simulated.now;
    await simulated.run(8_000, COLD, undefined);
    simulated.kill(allocatorOf(simulated));
    await simulated.run(8_000, COLD, undefined);
    const most = mostIn(simulated, from);
    t.true(most <= mostAllowed(rate), `${most} in one second`);
    t.true(simulated.countSince(COLD, from) > 0);
  });
}

// Guards against a runner that crashes as it names more than it takes while cold.
test("of a named limit and that of a warm-up the lower one applies", async (t) => {
  const simulated = await startCold(6);
  for (const [value, source, perSecond] of [
    ["100", limitSource.LimitSource.WarmUp, RATE],
    ["2", limitSource.LimitSource.Named, 2],
  ] as const) {
    simulated.name("e0", COLD, value);
    await simulated.run(4_000, COLD, value);
    const from = simulated.now;
    await simulated.run(4_000, COLD, value);
    const [limit] = limitsAt(simulated, "e1");
    t.is(limit.source, source);
    t.is(limit.perSecond, perSecond);
    t.true(mostIn(simulated, from) <= mostAllowed(perSecond));
    t.true(simulated.countSince(COLD, from) >= 0.8 * perSecond * 4);
    t.is(simulated.at("e1").limits.trace(COLD, 0)?.source, source);
  }
  simulated.list([WARM]);
  await simulated.run(1_000, WARM, "2");
  t.is(limitsAt(simulated, "e0")[0].source, limitSource.LimitSource.Named);
});

// Guards against permits of a higher named limit that are used after the runner
// turned cold.
test("a permit from before a warm-up is void when it begins", async (t) => {
  const simulated = await startEntries(6, []);
  simulated.name("e0", WARM, "100");
  await simulated.run(2_000, [], undefined);
  const admission = await simulated.at("e0").limits.admit(WARM, 1_500);
  if (admission.kind === "denied") return t.fail("denied");
  t.false(admission.permit.isExpired(admission.permit.askedAt));
  simulated.list([COLD]);
  t.true(admission.permit.isExpired(admission.permit.askedAt));
});

// Guards against permits at a higher named limit from an allocator that has not
// heard of the warm-up yet.
test("an entry that has just heard of a warm-up asks for no permit in its hold-off", async (t) => {
  const simulated = await startEntries(6, []);
  simulated.name("e0", WARM, "100");
  await simulated.run(2_000, [], undefined);
  const allocator = allocatorOf(simulated);
  const asker = hostsOf(6).find((host) => host !== allocator) ?? "";
  const { limits } = simulated.at(asker);
  t.is((await limits.admit(WARM, 1_500)).kind, "granted");
  simulated.list([COLD], [asker]);
  t.is((await limits.admit(COLD, 1_500)).kind, "denied");
});

// Guards against permits that a suspended process uses after the next second.
test("a permit for a runner that warms up is void a quarter of a second after it is due", async (t) => {
  const simulated = await startCold(6);
  simulated.maxDelayMilliseconds = 100;
  const admission = await simulated.at("e0").limits.admit(COLD, 100);
  if (admission.kind === "denied") return t.fail("denied");
  const { permit } = admission;
  const after = (milliseconds: number) => ({
    monotonic: permit.askedAt.monotonic + milliseconds,
    wall: permit.askedAt.wall + milliseconds,
  });
  const due = permit.delayMilliseconds ?? 0;
  t.false(permit.isExpired(after(due + 240)));
  t.true(permit.isExpired(after(due + 260)));
});

// Guards against a configuration that arrives after the list of runners, and
// against one that takes the bound away.
test("a bound follows the rate of the service at once", async (t) => {
  const simulated = await startEntries(3, []);
  simulated.warmUpRate = 0;
  simulated.list([COLD]);
  const { limits, logger } = simulated.at("e0");
  t.is(limits.waitOf(COLD), 0);
  t.false(limits.admit(COLD, 0) instanceof Promise);
  simulated.warmUpRate = RATE;
  const admission = await limits.admit(COLD, 0);
  t.is(admission.kind, "denied");
  await simulated.run(200, [], undefined);
  simulated.warmUpRate = 0;
  t.false(limits.admit(COLD, 0) instanceof Promise);
  await simulated.run(200, [], undefined);
  const { RunnerWarmUpStarted, RunnerWarmUpEnded } = common.EventCode;
  const codes = logger.events.map(({ code }) => code);
  t.deepEqual(codes, [RunnerWarmUpStarted, RunnerWarmUpEnded]);
});

test("the begin and the end of a warm-up are logged, and operators see its rate", async (t) => {
  const simulated = await startCold(3);
  const [limit] = limitsAt(simulated, "e0");
  t.like(limit, { source: "warm-up", perSecond: RATE });
  simulated.list([WARM]);
  const events = simulated.at("e0").logger.events;
  const { RunnerWarmUpStarted, RunnerWarmUpEnded } = common.EventCode;
  const [started, ended] = events;
  t.is(events.length, 2);
  t.is(started.code, RunnerWarmUpStarted);
  t.like(started.fields, { runner: COLD.identifier, perSecond: RATE });
  t.is(ended.code, RunnerWarmUpEnded);
  t.is(ended.fields.milliseconds, SETTLED_MILLISECONDS);
});

// Guards against a turn of the event loop for requests to runners without a limit.
test("a runner without a limit needs no turn of the event loop while another one warms up", async (t) => {
  const simulated = await startCold(6);
  const other = runnerFixture.createRunner({ identifier: "i-2", port: 9 });
  simulated.list([COLD, other]);
  const { limits } = simulated.at("e0");
  t.false(limits.admit(other, 0) instanceof Promise);
  t.true(limits.admit(COLD, 0) instanceof Promise);
});

// Guards against records of warm runners that cost each request a look-up.
test("a runner that named no limit is forgotten after its warm-up", async (t) => {
  const simulated = await startCold(6);
  simulated.list([WARM]);
  await simulated.run(15_000, [], undefined);
  for (const { limits } of simulated.entries.values()) {
    t.is(limits.initialMessage(), undefined);
    t.deepEqual(limits.describe(), []);
  }
});

/** Messages and decisions of entries whose runners are listed in this way. */
async function decisionsFor(runner: traffic.RunnerEntry): Promise<unknown> {
  const simulated = await startEntries(6, []);
  simulated.warmUpRate = 0;
  simulated.lateness = () => 0;
  for (const value of [undefined, "5", undefined, "0.5"]) {
    simulated.list([runner]);
    await simulated.run(6_000, runner, value);
  }
  const events = [...simulated.entries.values()].map(
    ({ logger }) => logger.events,
  );
  return { arrivals: simulated.arrivals.get(runner.identifier), events };
}

// Guards against other decisions where no service has a rate for warm-up.
test("without a rate, runners that warm up are treated as all others", async (t) => {
  t.deepEqual(await decisionsFor(COLD), await decisionsFor(WARM));
});

// Guards against an operator who does not learn that there is no bound.
test("a rate that cannot be read is no bound and is logged once", async (t) => {
  const simulated = await startEntries(3, []);
  const { limits, logger } = simulated.at("e0");
  const { WarmUpRateUnreadable } = common.EventCode;
  const count = () =>
    logger.events.filter(({ code }) => code === WarmUpRateUnreadable).length;
  for (const times of [1, 2]) {
    simulated.warmUpRate = traffic.UNREADABLE_RATE;
    simulated.list([COLD]);
    await simulated.run(1_000, [], undefined);
    t.false(limits.admit(COLD, 0) instanceof Promise);
    t.is(count(), times);
    simulated.warmUpRate = 0;
    await simulated.run(1_000, [], undefined);
  }
});
