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
 * The runner that a request burdens least. Runners that are spared are taken only
 * if there is no other: a slow answer is better than none.
 */
export function chooseRunner(
  views: RunnerView[],
  random: common.Random,
): RunnerView | undefined {
  const sound = views.filter((view) => !view.spared);
  const candidates = sound.length > 0 ? sound : views;
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
