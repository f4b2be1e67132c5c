import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as rankEngine from "./rank_engine.ts";
import * as rankMember from "./rank_member.ts";

const test = ava.default;

const TIMEOUT_MILLISECONDS = 5_000;

/** What an engine returns when its activations are read. */
interface Readings {
  mapVersion: number;
  /**
   * For each reading, how often each expert was activated since the engine
   * started.
   */
  counts: number[][];
  /** For each reading, when the engine started. */
  startTimes?: number[];
}

/**
 * An engine that returns the given counts, one list at each reading, and the
 * last list again after that.
 */
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
 * Reads all the given counts, and returns the sum of the activations that a
 * `RankMember` gives out to be reported to the leader in that time.
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

// The process does not know how long the engine has counted before the first
// reading, so it reports only what is added after it.
test("activations since the first reading are reported, without those before it", async (t) => {
  const counts = [
    [100, 100],
    [110, 100],
    [115, 130],
  ];
  t.deepEqual(await reportedCounts(t, { mapVersion: 4, counts }), [15, 30]);
});

// Under the map with which a group starts (`mapVersion` 0), the slowest rank
// takes almost three times the mean, so the group needs a new map soon. What a
// newly formed group has counted is recent demand, so the first reading counts
// as well.
test("the first counts of a newly formed group are reported", async (t) => {
  const counts = [
    [5, 9],
    [6, 9],
  ];
  t.deepEqual(await reportedCounts(t, { mapVersion: 0, counts }), [6, 9]);
});

// A restarted engine counts from 0 again. Lower counts than in the reading
// before must not become negative activations.
test("counts of a restarted engine are reported in full", async (t) => {
  const counts = [
    [100, 100],
    [2, 7],
  ];
  t.deepEqual(await reportedCounts(t, { mapVersion: 4, counts }), [2, 7]);
});

// An engine crashed, restarted with the same identity, and by the next reading
// has counted more than before the crash. So only its start time shows the
// restart. If the counts from before the crash were subtracted, the map would
// be planned for demand that is distorted by demand of long ago.
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

// A leader that does not know the model of its group yet asks all ranks for no
// counts: it sets their period to 0. If each rank of a busy group reported what
// it counted while the group had no leader, the new leader's network link would
// be full while the leader has to learn the state of its group.
test("counts that were not reported are dropped when a leader asks for none", async (t) => {
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

// The process beside a rank caches the last maps that its engine was ordered to
// prepare. A leader sends the next map as changes to the map in force. If maps
// that were loaded and not used evicted that one, the next map would have to be
// sent in full, and would come into force later after a shift of demand.
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
/**
 * At the period of a rank without a leader, 300 ms, the readings would take
 * 6 s. At 40 ms, the longest period while a map is loaded, they take 0.8 s.
 */
const MAX_LOADING_MILLISECONDS = 3_500;

// Loading does not make an engine busy, so it needs a rule of its own. If the
// process read the state every 300 ms, it would see up to 0.3 s late that the
// map is loaded. The switch of the group cannot go on before that, and in the
// meantime each stream waits for the slowest rank.
test("an engine that loads a map is read often", async (t) => {
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

// An engine that has switched to a map no longer reports it as prepared. If the
// process still waited to see the map prepared, it would read its engine up to
// 60 times a second for seconds after each switch.
test("an engine is not read often for a map that is in force", async (t) => {
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
  // Readings of the activations are announced by `changed` too; there are none.
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
  // Without a leader the period is 300 ms; while a map is loaded, at most
  // 40 ms.
  t.true(common.now() - startedAt > 200);
});
