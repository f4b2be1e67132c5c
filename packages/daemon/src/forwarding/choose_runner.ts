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
  spared: boolean;
}

/**
 * How much fuller than another, as a part of its slots, a runner of the own data
 * centre may be and still be taken. The way between data centres costs 1 to 3 ms
 * of some 400 allowed: less than one request more in a batch of eight.
 */
const NEARNESS = 0.06;
/**
 * What a runner that fails all its requests counts as, in times its slots. A
 * repeat costs a whole further attempt, so a runner that fails half of them is
 * taken only when the others are fuller by two thirds of their slots or more.
 */
const FAILURE_WEIGHT = 1.4;
/**
 * Random part of a score, in parts of the slots. Several entries choose on the
 * same counts, which are up to a heartbeat old; without it all of them would
 * take the same runner at once.
 */
const JITTER = 0.08;

/** How unwelcome a further request is at a runner; the least is best. */
export function burdenOf(view: RunnerView, random: common.Random): number {
  const fullness = (view.outstanding + 1) / Math.max(1, view.slots);
  const distance = view.sameDataCentre ? 0 : NEARNESS;
  const failures = view.failureShare * FAILURE_WEIGHT;
  return fullness + distance + failures + random.between(0, JITTER);
}

/**
 * Runners that are compared for a request, drawn anew each time (the power of two
 * choices). Entries know of each other's requests a beat late: if all of them compared
 * all runners, the requests of a beat would go to the same few, whose queues overflow
 * while others idle. Of two drawn at random each entry takes the emptier one.
 */
const COMPARED = 2;
/** Runners up to which all are compared: little can be sent blindly to so few. */
const FEW_RUNNERS = 5;

/**
 * The runner that a request burdens least. Runners that are spared are taken only
 * if there is no other: a slow answer is better than none.
 */
export function chooseRunner(
  views: RunnerView[],
  random: common.Random,
): RunnerView | undefined {
  const sound = views.filter((view) => !view.spared);
  const candidates = drawCandidates(sound.length > 0 ? sound : views, random);
  let best: RunnerView | undefined;
  let least = Infinity;
  for (const view of candidates) {
    const burden = burdenOf(view, random);
    if (burden >= least) continue;
    least = burden;
    best = view;
  }
  return best;
}

/** The runners that are compared: all of few, some of many. */
function drawCandidates(
  views: RunnerView[],
  random: common.Random,
): RunnerView[] {
  if (views.length <= FEW_RUNNERS) return views;
  const left = [...views];
  return Array.from({ length: COMPARED }, () => {
    const [drawn] = left.splice(random.below(left.length), 1);
    return drawn;
  });
}
