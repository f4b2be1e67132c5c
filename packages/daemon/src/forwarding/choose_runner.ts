import type * as common from "@geraniumkeel/common";

/** State of a runner that could take a request. */
export interface RunnerView {
  identifier: string;
  /** Requests in progress at the runner, from all entries. */
  outstanding: number;
  /** Requests that the runner processes at the same time. */
  slots: number;
  sameDataCentre: boolean;
  /** Share of the runner's recent answers that failed, 0 to 1. */
  failureShare: number;
  /**
   * The runner gets no new requests for now: this entry could not connect to it
   * a moment ago, its requests make no progress, or a runner of its lock-step
   * service has stalled and this one has sent nothing either.
   */
  suspended: boolean;
  /**
   * The runner gets requests only if the others are full, as it is, or may be,
   * much slower than the others of its service.
   */
  avoided: boolean;
}

/**
 * Score added for a runner in another data centre, as a fraction of its slots.
 * On average over the random part of the scores, a runner in the same data
 * centre is preferred until it is fuller by this much. The way to another data
 * centre takes 1 to 3 ms of the 400 ms or so that an answer may take. That is
 * less than one more request costs at a runner that processes eight at the same
 * time; one more request there adds an eighth to the score.
 */
const REMOTE_PENALTY = 0.06;
/**
 * Score added for a runner that fails all its requests, in multiples of its
 * slots. A retry costs a complete further attempt. A runner that fails half of
 * its requests gets 0.7 added to its score. It is preferred to a runner without
 * failures only if that runner is fuller by some two thirds of its slots or
 * more; the random parts of the scores make this 0.62 to 0.78.
 */
const FAILURE_PENALTY = 1.4;
/**
 * Upper bound of the random part of a score, as a fraction of the slots.
 * Several entries choose by the same counts, which are up to one heartbeat old.
 * Without the random part all of them would choose the same runner at the same
 * time.
 */
const MAX_JITTER = 0.08;

/** Score of a runner for one more request; the lowest is best. */
export function loadScore(view: RunnerView, random: common.Random): number {
  const fullness = (view.outstanding + 1) / Math.max(1, view.slots);
  const distance = view.sameDataCentre ? 0 : REMOTE_PENALTY;
  const failures = view.failureShare * FAILURE_PENALTY;
  return fullness + distance + failures + random.between(0, MAX_JITTER);
}

/**
 * Runners that are sampled at random and compared for each request (the power
 * of two choices). An entry learns of other entries' requests one heartbeat
 * late. If every entry compared all runners, the requests sent within one
 * heartbeat would all go to the same few, whose queues would overflow while
 * other runners were idle.
 */
const SAMPLE_SIZE = 2;
/**
 * Number of runners up to which all are compared. Entries cannot send many
 * requests by outdated counts to so few runners.
 */
const MAX_RUNNERS_WITHOUT_SAMPLING = 5;

/**
 * Chooses the runner with the lowest score, or `undefined` if there is none.
 * Suspended runners are chosen only if there are no others: they may answer
 * late, and a late answer is better than none. Avoided runners are compared only
 * if all others are full.
 */
export function chooseRunner(
  views: RunnerView[],
  random: common.Random,
): RunnerView | undefined {
  const available = views.filter((view) => !view.suspended);
  const preferred = available.filter((view) => !view.avoided);
  const hasFreeSlot = preferred.some((view) => view.outstanding < view.slots);
  const candidates = sampleCandidates(
    hasFreeSlot ? preferred : available.length > 0 ? available : views,
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

/** Returns the runners to compare: all if there are few, else a sample. */
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
