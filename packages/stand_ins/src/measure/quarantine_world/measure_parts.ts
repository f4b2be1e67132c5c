import type * as partProof from "@geraniumkeel/daemon/quarantine/part_proof";
import * as statistics from "../statistics.ts";
import * as partsEvidence from "./parts_evidence.ts";
import * as partsWorld from "./parts_world.ts";
import * as unrelatedEnds from "./unrelated_ends.ts";

const SEEDS = 40;
const REQUESTS_PER_SECOND = 40;

interface Proof {
  evidence: partsEvidence.Evidence;
  threshold: partProof.PartThreshold;
}

const { EveryRun, RunsWithoutContent } = partsEvidence.Evidence;

function proofOf(
  evidence: partsEvidence.Evidence,
  narrowCrashes: number,
  crashes: number,
  crashesOfCommon: number,
): Proof {
  return { evidence, threshold: { narrowCrashes, crashes, crashesOfCommon } };
}

/** Rules of evidence that are compared. */
const PROOFS: Record<string, Proof> = {
  "every run, 2": proofOf(EveryRun, 2, 2, 2),
  "every run, 3": proofOf(EveryRun, 3, 3, 3),
  "every run, 5": proofOf(EveryRun, 5, 5, 5),
  "without content, 2": proofOf(RunsWithoutContent, 2, 2, 2),
  "without content, 2 narrow or 3, common 5": proofOf(
    RunsWithoutContent,
    2,
    3,
    5,
  ),
  "without content, 3, common 5": proofOf(RunsWithoutContent, 3, 3, 5),
  "without content, 5": proofOf(RunsWithoutContent, 5, 5, 5),
};

type Change = Partial<partsWorld.PartsWorldShape>;

const { NO_ENDS, UNRELATED, GROUPINGS } = unrelatedEnds;

/** How requests with the part come. */
const CULPRITS: Record<string, Change> = {
  "one each 2 s": { crashingPerSecond: 0.5 },
  "three a second": { crashingPerSecond: 3 },
  "three a second, sent on": { crashingPerSecond: 3, sendsOn: true },
  "three a second, callers come back": {
    crashingPerSecond: 3,
    callerRetries: 1,
  },
  "ten a second": { crashingPerSecond: 10 },
  "three a second, beside one end each second": {
    crashingPerSecond: 3,
    otherEnds: UNRELATED["one each second"],
  },
};

async function playAll(
  proof: Proof,
  change: Change,
): Promise<partsWorld.PartsWorldResult[]> {
  const results: partsWorld.PartsWorldResult[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const world = new partsWorld.PartsWorld({
      ...GROUPINGS["two groups"],
      requestsPerSecond: REQUESTS_PER_SECOND,
      hasCommonPart: true,
      crashingPerSecond: 0,
      callerRetries: 0,
      sendsOn: false,
      otherEnds: NO_ENDS,
      duration: unrelatedEnds.DURATION,
      seed,
      ...proof,
      ...change,
    });
    results.push(await world.play());
  }
  return results;
}

function figuresOf(results: partsWorld.PartsWorldResult[]): object {
  const sum = (field: keyof partsWorld.PartsWorldResult) =>
    results.reduce((total, result) => total + result[field], 0);
  return {
    crashes: statistics.spread(results.map(({ crashes }) => crashes)),
    mostLateSends: Math.max(...results.map(({ lateSends }) => lateSends)),
    soundPartsHeld: statistics.round(sum("soundHeld") / results.length),
    soundRefused: statistics.round(sum("soundRefused") / sum("sound")),
  };
}

/** What each rule of evidence costs sound parts, and what it lets through. */
export async function measureParts(): Promise<object> {
  const rules: Record<string, unknown> = {};
  for (const [name, proof] of Object.entries(PROOFS)) {
    const figures: Record<string, unknown> = {};
    for (const [culprit, change] of Object.entries(CULPRITS))
      figures[culprit] = figuresOf(await playAll(proof, change));
    for (const [grouping, shape] of Object.entries(GROUPINGS)) {
      for (const [ends, otherEnds] of Object.entries(UNRELATED)) {
        const change = { ...shape, otherEnds };
        figures[`${grouping}, ${ends}`] = figuresOf(
          await playAll(proof, change),
        );
      }
    }
    rules[name] = figures;
  }
  return rules;
}
