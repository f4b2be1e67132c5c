import type * as crashCounts from "@geraniumkeel/daemon/quarantine/crash_counts";
import * as quarantineCost from "./quarantine_world/quarantine_cost.ts";
import * as measureParts from "./quarantine_world/measure_parts.ts";
import * as unrelatedEnds from "./quarantine_world/unrelated_ends.ts";
import * as world from "./quarantine_world/world.ts";
import * as statistics from "./statistics.ts";

const SEEDS = 40;
const REQUESTS_PER_SECOND = 40;
const POPULAR_SHARE = 0.3;

/** Rules of evidence that are compared. */
const PROOFS: crashCounts.CrashCounts[] = [
  { crashes: 2, sequential: 1 },
  { crashes: 2, sequential: 2 },
  { crashes: 3, sequential: 1 },
  { crashes: 3, sequential: 2 },
  { crashes: 3, sequential: 3 },
  { crashes: 4, sequential: 2 },
  { crashes: 4, sequential: 4 },
];

/** How the ending request comes. */
const ENDINGS: Record<string, { copies: number; pause: number }> = {
  "one each 4.4 s": { copies: 1, pause: 4_400 },
  "two at once each 4.4 s": { copies: 2, pause: 4_400 },
  "three at once each 4.4 s": { copies: 3, pause: 4_400 },
  "one each 0.2 s": { copies: 1, pause: 200 },
};

const { DURATION, NO_ENDS, UNRELATED, GROUPINGS } = unrelatedEnds;

async function playAll(
  change: Omit<world.WorldShape, "seed" | "duration" | "requestsPerSecond">,
): Promise<world.WorldResult[]> {
  const results: world.WorldResult[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const played = new world.World({
      duration: DURATION,
      requestsPerSecond: REQUESTS_PER_SECOND,
      seed,
      ...change,
    });
    results.push(await played.play());
  }
  return results;
}

function sum(results: world.WorldResult[], field: keyof world.WorldResult) {
  return results.reduce((total, result) => total + result[field], 0);
}

async function judgeInnocents(
  proof: crashCounts.CrashCounts,
): Promise<Record<string, unknown>> {
  const figures: Record<string, unknown> = {};
  for (const [grouping, shape] of Object.entries(GROUPINGS)) {
    for (const [name, otherEnds] of Object.entries(UNRELATED)) {
      const popularShare = POPULAR_SHARE;
      const ending = undefined;
      const results = await playAll({
        ...shape,
        proof,
        popularShare,
        ending,
        otherEnds,
      });
      const singles = sum(results, "singles");
      const played = SEEDS * DURATION;
      figures[`${grouping}, ${name}`] = {
        heldOfAMillion: statistics.round(
          (1e6 * sum(results, "heldSingles")) / singles,
        ),
        popularHeldShare: statistics.round(
          sum(results, "popularHeld") / played,
        ),
      };
    }
  }
  return figures;
}

async function judgeEndings(
  proof: crashCounts.CrashCounts,
): Promise<Record<string, unknown>> {
  const figures: Record<string, unknown> = {};
  for (const [grouping, shape] of Object.entries(GROUPINGS)) {
    for (const [name, ending] of Object.entries(ENDINGS)) {
      for (const beside of ["none", "one each second"]) {
        const otherEnds = UNRELATED[beside] ?? NO_ENDS;
        const results = await playAll({
          ...shape,
          proof,
          popularShare: 0,
          ending,
          otherEnds,
        });
        figures[`${grouping}, ${name}, other ends: ${beside}`] = {
          ends: statistics.spread(results.map(({ endsUnder }) => endsUnder)),
          mostLateSends: Math.max(...results.map(({ lateSends }) => lateSends)),
        };
      }
    }
  }
  return figures;
}

/** What each rule of evidence costs the innocent, and what it lets through. */
export async function measureQuarantine(): Promise<object> {
  const rules: Record<string, unknown> = {};
  for (const proof of PROOFS) {
    rules[`${proof.crashes} ends, ${proof.sequential} in turn`] = {
      innocents: await judgeInnocents(proof),
      endings: await judgeEndings(proof),
    };
  }
  const parts = await measureParts.measureParts();
  const cost = quarantineCost.measureCost();
  return { seeds: SEEDS, seconds: DURATION / 1_000, rules, parts, cost };
}
