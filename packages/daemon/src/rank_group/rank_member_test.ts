import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as rankEngine from "./rank_engine.ts";
import * as rankMember from "./rank_member.ts";

const test = ava.default;

const TIMEOUT_MILLISECONDS = 5_000;

/** What an engine returns at each reading: its counts, and when it started. */
interface Readings {
  mapVersion: number;
  counts: number[][];
  startTimes?: number[];
}

/** An engine that returns the given counts, one list at each reading. */
function engineOf(parameters: Readings): {
  engine: rankEngine.RankEngine;
  allRead: () => boolean;
} {
  const { mapVersion, counts, startTimes = [] } = parameters;
  let readings = 0;
  const engine: rankEngine.RankEngine = {
    report: async () =>
      neverthrow.ok({
        identity: { group: "g", epoch: 2, rank: 0, size: 8 },
        bornAt: 0,
        status: {
          epoch: 2,
          open: true,
          active: 5,
          waiting: 0,
          step: 700,
          mapVersion,
          preparedVersion: mapVersion,
          armedVersion: 0,
          armedStep: 0,
          heldStep: -1,
        },
        sequence: 0,
        loading: false,
      }),
    chosen: async () => {
      const reading = Math.min(readings++, counts.length - 1);
      const bornAt = startTimes[reading] ?? 0;
      return neverthrow.ok({ epoch: 2, bornAt, chosen: counts[reading] });
    },
    lists: async () => neverthrow.err("not asked"),
    order: async () => rankEngine.EngineAnswer.Refused,
  };
  return { engine, allRead: () => readings >= counts.length };
}

/**
 * Sums of the activations that are due to the leader, until all counts were
 * read.
 */
async function reportedCounts(
  t: ava.ExecutionContext,
  parameters: Readings,
): Promise<number[]> {
  const { engine, allRead } = engineOf(parameters);
  const member = new rankMember.RankMember(engine);
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void member.watch(stop.signal);
  const sums: number[] = [];
  while (!allRead()) {
    await member.changed.next(TIMEOUT_MILLISECONDS, stop.signal);
    member.takeCounts().forEach((count, index) => {
      sums[index] = (sums[index] ?? 0) + count;
    });
  }
  return sums;
}

test("activations since the last reading are reported", async (t) => {
  const counts = [
    [100, 100],
    [110, 100],
    [115, 130],
  ];
  t.deepEqual(await reportedCounts(t, { mapVersion: 4, counts }), [15, 30]);
});

// Streams stall under a group's first map until its demand is known. A group
// that has just begun to run has no old counts, so its first counts must be
// used.
test("the first counts of a newly formed group are reported", async (t) => {
  const counts = [
    [5, 9],
    [6, 9],
  ];
  t.deepEqual(await reportedCounts(t, { mapVersion: 0, counts }), [6, 9]);
});

// A rank that crashed counts from 0 when it is back. The lower numbers must not
// be taken for negative activations.
test("counts of a restarted engine are reported in full", async (t) => {
  const counts = [
    [100, 100],
    [2, 7],
  ];
  t.deepEqual(await reportedCounts(t, { mapVersion: 4, counts }), [2, 7]);
});

// An engine crashed and came back under the same identity. When it is read
// again it has counted more than before the crash. The map must not be planned
// for demand of long ago.
test("counts of an engine with another start time are reported in full", async (t) => {
  const counts = [
    [10, 10],
    [25, 70],
  ];
  const startTimes = [1_000, 9_000];
  t.deepEqual(
    await reportedCounts(t, { mapVersion: 4, counts, startTimes }),
    [25, 70],
  );
});

// If each rank of a busy group reported everything that it counted while the
// group had no leader, a new leader's link would be full while the leader has
// to learn the state of its group.
test("counts are not reported once a leader asks for none", async (t) => {
  const counts = [[1], [5], [9]];
  const { engine, allRead } = engineOf({ mapVersion: 4, counts });
  const member = new rankMember.RankMember(engine);
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void member.watch(stop.signal);
  while (!allRead()) {
    await member.changed.next(TIMEOUT_MILLISECONDS, stop.signal);
  }
  member.setCountPeriod(0);
  t.deepEqual(member.takeCounts(), []);
});

// If maps that were loaded and not used evicted the map in force, the next map
// would have to be sent in full, and a shift of demand would be answered later.
test("the map in force stays cached while others are loaded and not used", async (t) => {
  const { engine } = engineOf({ mapVersion: 4, counts: [[1]] });
  const member = new rankMember.RankMember({
    ...engine,
    order: async () => rankEngine.EngineAnswer.Accepted,
  });
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void member.watch(stop.signal);
  await member.changed.next(TIMEOUT_MILLISECONDS, stop.signal);
  const kind = wire.RankOrderKind.Prepare as const;
  for (let version = 4; version < 10; version++) {
    const order = { kind, version, map: [[[version]]] };
    await member.execute({ token: 1, epoch: 2, order });
  }
  t.deepEqual(member.mapOf(4), [[[4]]]);
  t.deepEqual(member.mapOf(9), [[[9]]]);
  t.is(member.mapOf(5), undefined);
});

const READINGS_WHILE_LOADING = 20;
/** Readings at the calm period would take 6 s, close ones take 0.8 s. */
const MAX_LOADING_MILLISECONDS = 3_500;

// An engine does not count loading as being busy. If its state were read at the
// calm period, a loaded map would be seen up to 0.3 s late. The switch of the
// group waits for that, and streams wait for a slow rank meanwhile.
test("an engine that loads a map is read closely", async (t) => {
  let readings = 0;
  const { engine } = engineOf({ mapVersion: 4, counts: [[1]] });
  const read = async () => {
    const report = (await engine.report())._unsafeUnwrap();
    const loaded = ++readings > READINGS_WHILE_LOADING;
    const preparedVersion = loaded ? 5 : 0;
    const status = { ...report.status, preparedVersion };
    return neverthrow.ok({ ...report, status });
  };
  const member = new rankMember.RankMember({
    ...engine,
    report: read,
    order: async () => rankEngine.EngineAnswer.Accepted,
  });
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void member.watch(stop.signal);
  const kind = wire.RankOrderKind.Prepare as const;
  const startedAt = common.now();
  await member.execute({
    token: 1,
    epoch: 2,
    order: { kind, version: 5, map: [] },
  });
  while (member.status?.preparedVersion !== 5) {
    await member.changed.next(TIMEOUT_MILLISECONDS, stop.signal);
  }
  const took = common.now() - startedAt;
  t.true(took < MAX_LOADING_MILLISECONDS, `${took} ms`);
});

// An engine that has switched no longer reports the map as prepared. The
// process beside each rank must not wait for that, or it would read its engine
// 60 times a second for seconds after each switch.
test("an engine is not read closely for a map that is in force", async (t) => {
  let readings = 0;
  const { engine } = engineOf({ mapVersion: 5, counts: [[1]] });
  const read = async () => {
    readings++;
    const report = (await engine.report())._unsafeUnwrap();
    const status = { ...report.status, preparedVersion: 0 };
    return neverthrow.ok({ ...report, status });
  };
  const member = new rankMember.RankMember({
    ...engine,
    report: read,
    order: async () => rankEngine.EngineAnswer.Accepted,
  });
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  member.setCountPeriod(0);
  void member.watch(stop.signal);
  const kind = wire.RankOrderKind.Prepare as const;
  await member.execute({
    token: 1,
    epoch: 2,
    order: { kind, version: 5, map: [] },
  });
  await member.changed.next(TIMEOUT_MILLISECONDS, stop.signal);
  const before = readings;
  const startedAt = common.now();
  await member.changed.next(TIMEOUT_MILLISECONDS, stop.signal);
  t.is(readings, before + 1);
  t.true(common.now() - startedAt > 200);
});
