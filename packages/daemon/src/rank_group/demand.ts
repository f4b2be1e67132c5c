import * as activationMeter from "./activation_meter.ts";

/**
 * Half-life of the counts in the long view, the sum of all readings in which
 * older counts weigh less. A group runs some fifty streams at once, each on
 * one topic for about a second. A shorter half-life shows which streams happen
 * to run, and maps planned for those are changed again and again.
 */
const HALF_LIFE_MILLISECONDS = 2_000;
/** Age up to which the latest reading of a rank describes current demand. */
const MAX_READING_AGE_MILLISECONDS = 250;
/**
 * Minimum distance between the latest readings and the long view for a shift of
 * demand. A distance is the share of the activations, from 0 to 1, in which the
 * two differ. If half of the demand moves to other experts, every reading that
 * begins after the shift shows the full difference. Chance causes smaller
 * distances.
 */
const MIN_SHIFT_DISTANCE = 0.12;
/**
 * The same as a multiple of the usual distance; a shift must reach both. The
 * fewer streams run, the larger are the distances that chance causes. If these
 * counted as shifts, a small group would get maps for the streams that happened
 * to run in a quarter of a second.
 */
const MIN_SHIFT_IN_USUAL_DISTANCES = 2;
/**
 * The usual distance is a moving average. This is its value before the first
 * distance is computed.
 */
const INITIAL_USUAL_DISTANCE = 0.06;
/** Weight of the newest distance in the usual distance. */
const NEWEST_DISTANCE_WEIGHT = 0.08;
/**
 * Time after a detected shift in which only the latest readings are used. The
 * first readings after a shift began before it, so half of what they contain is
 * earlier demand. If they stayed in the long view, the map would have to be
 * changed twice.
 */
const LATEST_ONLY_MILLISECONDS = 150;
/**
 * Minimum number of activations in the long view, where counts are reduced by
 * their age, for maps to be planned by it; also the minimum in the latest
 * readings, where they are not, for a shift to be detected.
 */
const MIN_ACTIVATIONS = 2_000;

/**
 * One reading of a rank: the activations that the rank counted since its
 * reading before, and when they were added here.
 */
interface RankReading {
  /** Activations of each expert, layer after layer. */
  chosen: number[];
  at: number;
}

/**
 * How much a group's requests demand each expert. Normally this is the long
 * view over some seconds; when demand has shifted, the latest reading of each
 * rank replaces it. Designed for demand that changes every few seconds, for all
 * requests at the same time, and is stable in between.
 */
export class Demand {
  readonly #longView: activationMeter.ActivationMeter;
  readonly #latestReadings = new Map<number, RankReading>();
  #addedAt = -Infinity;
  #shiftDetectedAt = -Infinity;
  #distance = 0;
  #usualDistance = INITIAL_USUAL_DISTANCE;
  #shifts = 0;

  constructor(readonly expertsPerLayer: number) {
    this.#longView = new activationMeter.ActivationMeter({
      halfLifeMilliseconds: HALF_LIFE_MILLISECONDS,
      expertsPerLayer,
    });
  }

  /** Demand by layer and expert: activations, reduced by their age. */
  get load(): readonly number[][] {
    return this.#longView.decayedCounts;
  }

  /** Whether enough was counted to plan by. */
  get known(): boolean {
    return this.#longView.weight >= MIN_ACTIVATIONS;
  }

  /** When counts were last added: the `now` of the last `add`. */
  get addedAt(): number {
    return this.#addedAt;
  }

  /**
   * Distance, from 0 to 1, between the latest readings and the long view when
   * last computed.
   */
  get distance(): number {
    return this.#distance;
  }

  /** When a shift was last detected: the `now` of that `detectShift`. */
  get shiftDetectedAt(): number {
    return this.#shiftDetectedAt;
  }

  /** Number of shifts detected so far. */
  get shifts(): number {
    return this.#shifts;
  }

  /**
   * Adds one reading of a rank: the activations that it counted since its
   * reading before, layer after layer.
   */
  add(rank: number, chosen: number[], now: number): void {
    if (chosen.length === 0) return;
    this.#addedAt = now;
    this.#longView.add(chosen, now);
    this.#latestReadings.set(rank, { chosen, at: now });
  }

  /**
   * Computes the distance, and replaces the long view by the latest readings if
   * demand has shifted. Replaces it again on each call in the time after a
   * shift in which only the latest readings are used. Does nothing while the
   * latest readings contain too few activations.
   */
  detectShift(now: number): void {
    const latest = this.#latestMeter(now);
    if (latest.weight < MIN_ACTIVATIONS) return;
    this.#distance = activationMeter.distanceOf(latest, this.#longView);
    const sinceDetected = now - this.#shiftDetectedAt;
    if (this.#recordDistance(this.#distance)) {
      if (sinceDetected > LATEST_ONLY_MILLISECONDS) this.#shifts++;
      this.#shiftDetectedAt = now;
    } else if (sinceDetected > LATEST_ONLY_MILLISECONDS) {
      return;
    }
    this.#longView.copyFrom(latest);
  }

  /**
   * Updates the usual distance with a new distance. Returns whether the new one
   * is larger than chance explains, so that demand has shifted.
   */
  #recordDistance(distance: number): boolean {
    const minDistance = Math.max(
      MIN_SHIFT_DISTANCE,
      this.#usualDistance * MIN_SHIFT_IN_USUAL_DISTANCES,
    );
    // Of a larger distance, only the part that chance explains counts.
    const ordinary = Math.min(distance, minDistance);
    this.#usualDistance +=
      NEWEST_DISTANCE_WEIGHT * (ordinary - this.#usualDistance);
    return distance >= minDistance;
  }

  /**
   * Sum of the latest readings of all ranks, without those that are too old.
   */
  #latestMeter(now: number): activationMeter.ActivationMeter {
    const meter = new activationMeter.ActivationMeter(
      this.#longView.parameters,
    );
    for (const { chosen, at } of this.#latestReadings.values()) {
      if (now - at <= MAX_READING_AGE_MILLISECONDS) meter.add(chosen, now);
    }
    return meter;
  }
}
