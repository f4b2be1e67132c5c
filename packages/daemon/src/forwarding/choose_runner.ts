import type * as common from "@geraniumkeel/common";

/** What is known of a runner that could take a request. */
export interface RunnerView {
  identifier: string;
  /** Requests under way there, from all entries. */
  outstanding: number;
  /** Requests that it works on at once. */
  slots: number;
  sameDataCentre: boolean;
  /** Part of its latest answers that failed, 0 to 1. */
  failureShare: number;
  /** It made no progress lately. */
  suspended: boolean;
}

/**
 * How much fuller than another, as a part of its slots, a runner of the own data
 * centre may be and still be taken. The way between data centres costs 1 to 3 ms
 * of some 400 allowed: less than one request more in a batch of eight.
 */
const REMOTE_PENALTY = 0.06;
/**
 * What a runner that fails all its requests counts as, in times its slots. A
 * repeat costs a whole further attempt, so a runner that fails half of them is
 * taken only when the others are fuller by two thirds of their slots or more.
 */
const FAILURE_PENALTY = 1.4;
/**
 * Random part of a score, in parts of the slots. Several entries choose on the
 * same counts, which are up to a heartbeat old; without it all of them would
 * take the same runner at once.
 */
const MAX_JITTER = 0.08;

/** How unwelcome a further request is at a runner; the least is best. */
export function loadScore(view: RunnerView, random: common.Random): number {
  const fullness = (view.outstanding + 1) / Math.max(1, view.slots);
  const distance = view.sameDataCentre ? 0 : REMOTE_PENALTY;
  const failures = view.failureShare * FAILURE_PENALTY;
  return fullness + distance + failures + random.between(0, MAX_JITTER);
}

/**
 * Runners that are compared for a request, drawn anew each time (the power of two
 * choices). Entries know of each other's requests a beat late: if all of them compared
 * all runners, the requests of a beat would go to the same few, whose queues overflow
 * while others idle. Of two drawn at random each entry takes the emptier one.
 */
const SAMPLE_SIZE = 2;
/** Runners up to which all are compared: little can be sent blindly to so few. */
const MAX_RUNNERS_WITHOUT_SAMPLING = 5;

/**
 * The runner that a request burdens least. Runners that are spared are taken only
 * if there is no other: a slow answer is better than none.
 */
export function chooseRunner(
  views: RunnerView[],
  random: common.Random,
): RunnerView | undefined {
  const available = views.filter((view) => !view.suspended);
  const candidates = sampleCandidates(
    available.length > 0 ? available : views,
    random,
  );
  let best: RunnerView | undefined;
  let lowestScore = Infinity;
  for (const view of candidates) {
    const score = loadScore(view, random);
    if (score >= lowestScore) continue;
    lowestScore = score;
    best = view;
  }
  return best;
}

/** The runners that are compared: all of few, some of many. */
function sampleCandidates(
  views: RunnerView[],
  random: common.Random,
): RunnerView[] {
  if (views.length <= MAX_RUNNERS_WITHOUT_SAMPLING) return views;
  const remaining = [...views];
  return Array.from({ length: SAMPLE_SIZE }, () => {
    const [drawn] = remaining.splice(random.below(remaining.length), 1);
    return drawn;
  });
}
