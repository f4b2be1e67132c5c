import * as crashCounts from "./crash_counts.ts";

/** What is known of one prompt part at one crash of a runner. */
export interface PartCrash extends crashCounts.CrashedRun {
  /** Identifies the incarnation of the runner that crashed. */
  life: string;
  /**
   * Requests with the part that may have crashed the runner, by short names. If
   * the answers of some requests there had begun without content, these are
   * the only ones.
   */
  requests: readonly string[];
  /**
   * Whether few requests may have crashed the runner: answers had begun without
   * content, and not many.
   */
  isNarrow: boolean;
}

/** A part, with the crashes that may be its doing. */
export interface SuspectedPart {
  key: string;
  /** Share of the service's requests that carry the part, about; 0 to 1. */
  frequency: number;
  crashes: PartCrash[];
}

/** Crashes that prove that a part crashes runners. */
export interface PartThreshold {
  /** Number of crashes if all of them are narrow. */
  narrowCrashes: number;
  /** Number of crashes otherwise. */
  crashes: number;
  /** Number of crashes if the part is common. */
  crashesOfCommon: number;
}

/** A part is quarantined once its crashes reach this threshold. */
export const PART_THRESHOLD: PartThreshold = {
  narrowCrashes: 2,
  crashes: 3,
  crashesOfCommon: 5,
};

/**
 * Share of requests from which a part counts as common. It is under way at most
 * crashes whatever their cause, and many requests depend on it.
 */
const COMMON_FREQUENCY = 0.25;
/**
 * How many times as frequent a part must be as a proven one for crashes with
 * both to be held against the proven one alone. Two parts that are about as
 * frequent are each judged by all their crashes, so that one that is found first
 * does not hide the other.
 */
const EXPLAINED_FREQUENCY_RATIO = 2;

/**
 * Returns the keys of the parts that crash runners, by the evidence. Crashes at
 * which a proven part was there are not held against more frequent parts, which
 * are carried by the same requests by chance. Nor is a part proven if all its
 * crashes, and more, are those of a proven part.
 *
 * `quarantined` parts stay so while at least as many crashes as can prove a part
 * are held against them, so that entries whose clocks differ treat a part alike.
 */
export function provenParts(
  parts: SuspectedPart[],
  quarantined: ReadonlySet<string>,
  threshold = PART_THRESHOLD,
): Set<string> {
  const proven: SuspectedPart[] = [];
  for (const part of [...parts].sort(byFrequency)) {
    const crashes = unexplainedCrashes(part, proven);
    const isProven = quarantined.has(part.key)
      ? crashes.length >= threshold.narrowCrashes
      : reachesThreshold({ ...part, crashes }, threshold);
    if (isProven) proven.push(part);
  }
  const culprits = proven.filter(
    (part) => !proven.some((other) => covers(other, part)),
  );
  return new Set(culprits.map(({ key }) => key));
}

/** Whether a part was at all crashes of another one that is as rare, and more. */
function covers(other: SuspectedPart, part: SuspectedPart): boolean {
  if (other.crashes.length <= part.crashes.length) return false;
  if (other.frequency > part.frequency * EXPLAINED_FREQUENCY_RATIO)
    return false;
  const lives = new Set(other.crashes.map(({ life }) => life));
  return part.crashes.every(({ life }) => lives.has(life));
}

function byFrequency(left: SuspectedPart, right: SuspectedPart): number {
  return left.frequency - right.frequency || (left.key < right.key ? -1 : 1);
}

function unexplainedCrashes(
  { frequency, crashes }: SuspectedPart,
  proven: SuspectedPart[],
): PartCrash[] {
  const explained = new Set<string>();
  for (const other of proven) {
    if (other.frequency * EXPLAINED_FREQUENCY_RATIO > frequency) continue;
    for (const { life } of other.crashes) explained.add(life);
  }
  return crashes.filter(({ life }) => !explained.has(life));
}

/**
 * Whether the crashes prove a part. Runs of two crashes at least must follow
 * each other, as hosts may fail together; and no single request may have been
 * at all crashes, as it may be the whole request that crashes runners.
 */
function reachesThreshold(
  { frequency, crashes }: SuspectedPart,
  threshold: PartThreshold,
): boolean {
  if (crashes.length < crashesNeeded(frequency, crashes, threshold))
    return false;
  if (crashCounts.countCrashes(crashes).sequential < 2) return false;
  return !crashes[0].requests.some((request) =>
    crashes.every(({ requests }) => requests.includes(request)),
  );
}

/** Whether a part with this frequency is common. */
export function isCommon(frequency: number): boolean {
  return frequency >= COMMON_FREQUENCY;
}

function crashesNeeded(
  frequency: number,
  crashes: PartCrash[],
  threshold: PartThreshold,
): number {
  if (isCommon(frequency)) return threshold.crashesOfCommon;
  const narrow = crashes.filter(({ isNarrow }) => isNarrow);
  return narrow.length >= threshold.narrowCrashes
    ? threshold.narrowCrashes
    : threshold.crashes;
}
