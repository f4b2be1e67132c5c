import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as rateLimitsFixture from "./rate_limits_fixture.ts";

const test = ava.default;

const RUNNER = runnerFixture.createRunner();
/** Time after which no window contains requests from before the naming. */
const SETTLED_MILLISECONDS = 4_500;

function mostAllowed(perSecond: number): number {
  return 1.5 * 4 * perSecond + 5;
}

function hostsOf(count: number): string[] {
  return Array.from({ length: count }, (_, number) => `e${number}`);
}

/** Entries that have heard a limit some time ago. */
async function startLimited(parameters: {
  entries: number;
  value: string;
  demand: number;
}): Promise<rateLimitsFixture.SimulatedEntries> {
  const { entries, value, demand } = parameters;
  const simulated = new rateLimitsFixture.SimulatedEntries();
  simulated.add(hostsOf(entries), demand);
  await simulated.run(200, RUNNER, undefined);
  simulated.name("e0", RUNNER, value);
  await simulated.run(SETTLED_MILLISECONDS, RUNNER, value);
  return simulated;
}

interface Case {
  title: string;
  entries: number;
  value: string;
  /** Requests a second from the callers of each entry. */
  demand: number;
}

const CASES: Case[] = [
  { title: "six entries, one a second", entries: 6, value: "1", demand: 5 },
  { title: "45 entries, one a second", entries: 45, value: "1", demand: 2 },
  { title: "99 entries, one a second", entries: 99, value: "1", demand: 1 },
  {
    title: "six entries, 37.5 a second",
    entries: 6,
    value: "37.5",
    demand: 20,
  },
  { title: "six entries, one in 4 s", entries: 6, value: "0.25", demand: 5 },
];

for (const { title, entries, value, demand } of CASES) {
  // Guards against a share or a burst for each entry, which add up to more.
  test(`a limit holds for all entries together: ${title}`, async (t) => {
    const simulated = await startLimited({ entries, value, demand });
    const from = simulated.now;
    await simulated.run(20_000, RUNNER, value);
    const perSecond = Number(value);
    const most = simulated.mostInWindow(RUNNER, from);
    t.true(most <= 4 * perSecond + Math.max(2, perSecond / 5) + 1, `${most}`);
    const used = simulated.countSince(RUNNER, from);
    t.true(used >= 0.9 * perSecond * 20 - 1, `${used} in 20 s`);
  });
}

// Callers keep an address, so one entry may get nearly all requests.
test("one busy entry of six gets the whole limit", async (t) => {
  const simulated = await startLimited({ entries: 6, value: "5", demand: 0 });
  simulated.at("e3").demand = 50;
  const from = simulated.now;
  await simulated.run(10_000, RUNNER, "5");
  t.true(simulated.countSince(RUNNER, from) >= 0.9 * 5 * 10);
  t.true(simulated.mostInWindow(RUNNER, from) <= mostAllowed(5));
});

/** Trouble of the entries while a runner is limited. */
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
  "the allocator is cut off from all": (simulated) => {
    const host = allocatorOf(simulated);
    simulated.cut([host], [...simulated.entries.keys()]);
    simulated.at(host).storeReachable = false;
  },
  "the allocator and one other do not see each other": (simulated) => {
    const host = allocatorOf(simulated);
    const [other] = [...simulated.entries.keys()].filter((one) => one !== host);
    simulated.cut([host], [other]);
  },
  "the entries are divided into halves": (simulated) => {
    const hosts = [...simulated.entries.keys()];
    simulated.cut(hosts.slice(0, 3), hosts.slice(3));
  },
  "every entry is cut off from every other": (simulated) => {
    const hosts = [...simulated.entries.keys()];
    simulated.cut(hosts, hosts);
  },
  "two entries are added": (simulated) => simulated.add(["n0", "n1"], 5),
};

function allocatorOf(simulated: rateLimitsFixture.SimulatedEntries): string {
  const [limit] = simulated.at("e0").limits.describe() as {
    allocator: string;
  }[];
  return limit.allocator;
}

for (const [title, begin] of Object.entries(TROUBLES)) {
  // Guards against two entries that allocate the same part of a limit at once.
  test(`a limit holds while ${title}, and after`, async (t) => {
    const value = "2";
    const parameters = { entries: 6, value, demand: 5 };
    const simulated = await startLimited(parameters);
    const from = simulated.now;
    begin(simulated);
    await simulated.run(20_000, RUNNER, value);
    for (const entry of simulated.entries.values()) entry.frozen = false;
    simulated.heal();
    const healedAt = simulated.now;
    await simulated.run(12_000, RUNNER, value);
    const most = simulated.mostInWindow(RUNNER, from);
    t.true(most <= mostAllowed(2), `${most} in four seconds`);
    const used = simulated.countSince(RUNNER, healedAt + 2_000);
    t.true(used >= 0.9 * 2 * 10, `${used} in the last 10 s`);
  });
}

// Guards against an entry that, hearing nobody, takes the whole limit.
test("an entry that hears nobody sends its own share, and none if that is small", async (t) => {
  for (const [entries, most] of [
    [3, 4 * 2 * (1 / 3) + 1],
    [6, 0],
  ]) {
    const simulated = await startLimited({ entries, value: "2", demand: 0 });
    simulated.cut(["e1"], hostsOf(entries));
    simulated.at("e1").demand = 20;
    simulated.at("e1").storeReachable = false;
    await simulated.run(5_000, RUNNER, "2");
    const from = simulated.now;
    await simulated.run(90_000, RUNNER, "2");
    t.true(simulated.mostInWindow(RUNNER, from) <= most, `of ${entries}`);
  }
});

test("entries that stay gone do not keep their shares for long", async (t) => {
  const simulated = await startLimited({ entries: 6, value: "2", demand: 5 });
  simulated.kill("e4");
  simulated.kill("e5");
  await simulated.run(10_000, RUNNER, "2");
  const from = simulated.now;
  await simulated.run(10_000, RUNNER, "2");
  t.true(simulated.countSince(RUNNER, from) >= 0.9 * 2 * 10);
});

test("a limit moves with what the runner names, and ends with it", async (t) => {
  const simulated = await startLimited({ entries: 6, value: "2", demand: 5 });
  for (const [value, perSecond] of [
    ["0.5", 0.5],
    ["4", 4],
    [undefined, 30],
    ["1", 1],
  ] as const) {
    await simulated.run(4_000, RUNNER, value);
    const from = simulated.now;
    await simulated.run(10_000, RUNNER, value);
    const used = simulated.countSince(RUNNER, from);
    t.true(used >= 0.9 * perSecond * 10 - 1, `${used} at ${value}`);
    t.true(used <= perSecond * 10 + 3, `${used} at ${value}`);
  }
});

// Answers on two connections may overtake each other.
test("of two answers whose order is unknown the stricter one holds until the next", (t) => {
  const simulated = new rateLimitsFixture.SimulatedEntries();
  simulated.add(["e0"]);
  const { limits } = simulated.at("e0");
  const limit = () => limits.describe() as { perSecond: number }[];
  simulated.name("e0", RUNNER, "1", 500);
  simulated.now += 100;
  simulated.name("e0", RUNNER, "9", 500);
  t.is(limit()[0].perSecond, 1);
  simulated.name("e0", RUNNER, undefined, 500);
  t.is(limit()[0].perSecond, 1);
  simulated.now += 100;
  simulated.name("e0", RUNNER, "9", 50);
  t.is(limit()[0].perSecond, 9);
  simulated.now += 100;
  simulated.name("e0", RUNNER, undefined, 50);
  t.deepEqual(limit(), []);
});

// Guards against a runner that nobody asks any more after it named 0.
test("a runner that names 0 is asked now and then, so that its end is seen", async (t) => {
  const simulated = await startLimited({ entries: 3, value: "0", demand: 5 });
  const from = simulated.now;
  await simulated.run(20_000, RUNNER, "0");
  const used = simulated.countSince(RUNNER, from);
  t.true(used >= 2 && used <= 5, `${used} in 20 s`);
  await simulated.run(12_000, RUNNER, undefined);
  t.deepEqual(simulated.at("e0").limits.describe(), []);
});

test("each runner and each incarnation has a limit of its own", async (t) => {
  const simulated = await startLimited({ entries: 3, value: "1", demand: 5 });
  const restarted = { ...RUNNER, bornAt: RUNNER.bornAt + 1 };
  const other = runnerFixture.createRunner({ identifier: "i-2", port: 9 });
  for (const runner of [restarted, other]) {
    const from = simulated.now;
    await simulated.run(4_000, runner, undefined);
    t.true(simulated.countSince(runner, from) >= 50);
  }
});

test("an unreadable value changes nothing and is logged once a runner", (t) => {
  const simulated = new rateLimitsFixture.SimulatedEntries();
  simulated.add(["e0"]);
  simulated.name("e0", RUNNER, "3");
  for (const value of ["abc", "-1", "1, 5"])
    simulated.name("e0", RUNNER, value);
  const { limits, logger } = simulated.at("e0");
  t.is((limits.describe() as { perSecond: number }[])[0].perSecond, 3);
  const code = common.EventCode.RunnerRateLimitUnreadable;
  t.is(logger.events.filter((event) => event.code === code).length, 1);
});

// Guards against a suspended process that sends by a permission of long ago.
test("a permit is void half a second after it is due", async (t) => {
  const simulated = await startLimited({ entries: 1, value: "1", demand: 0 });
  const admission = await simulated.at("e0").limits.admit(RUNNER, 0);
  if (admission.kind === "denied") return t.fail("denied");
  const { permit } = admission;
  const after = (milliseconds: number) => ({
    monotonic: permit.askedAt.monotonic,
    wall: permit.askedAt.wall + milliseconds,
  });
  t.false(permit.isExpired(after(400)));
  t.true(permit.isExpired(after(600)));
});

// Guards against requests that wait although their turn comes too late for them.
test("requests that wait are sent in turn, and the others are refused at once", async (t) => {
  const simulated = await startLimited({ entries: 1, value: "2", demand: 0 });
  const { limits } = simulated.at("e0");
  const delays: number[] = [];
  const waits: number[] = [];
  for (let request = 0; request < 40; request++) {
    const admission = await limits.admit(RUNNER, 1_500);
    if (admission.kind === "granted")
      delays.push(
        admission.permit.remainingMilliseconds(admission.permit.askedAt),
      );
    else waits.push(admission.waitMilliseconds);
  }
  t.deepEqual(delays, [0, 0, 500, 1_000, 1_500]);
  t.is(waits.length, 35);
  t.true(waits.every((wait) => wait > 1_500 && wait <= 2_500));
  const retries = [1, 2, 3].map(() => limits.nextRetryDelay(RUNNER, 2_000));
  t.deepEqual(retries, [2_000, 2_500, 3_000]);
});
