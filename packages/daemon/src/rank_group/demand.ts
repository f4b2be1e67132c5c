import * as activationMeter from "./activation_meter.ts";

/**
 * Half-life of the long view. A group runs some fifty streams at once, each on
 * one topic for about a second. A shorter half-life shows which streams happen
 * to run, and maps planned for those are changed again and again.
 */
const HALF_LIFE_MILLISECONDS = 2_000;
/** Age up to which the latest reading of a rank describes current demand. */
const MAX_READING_AGE_MILLISECONDS = 250;
/**
 * Distances between the latest readings and the long view from which demand
 * counts as shifted: from 0 to 1, and as a multiple of the usual distance. Both
 * must be reached. A shift of half of the demand shows in full in every reading
 * that begins after it. Chance causes smaller distances, but larger ones the
 * fewer streams run. If such a distance counted as a shift, a small group would
 * plan by the streams of a quarter of a second.
 */
const MIN_SHIFT_DISTANCE = 0.12;
const MIN_SHIFT_IN_USUAL_DISTANCES = 2;
/**
 * Usual distance before any was computed, and the weight of the newest distance
 * in it.
 */
const INITIAL_USUAL_DISTANCE = 0.06;
const NEWEST_DISTANCE_WEIGHT = 0.08;
/**
 * Time after a detected shift in which only the latest readings are used. The
 * first readings after a shift began before it and half describe the earlier
 * demand. If they stayed in the long view, the map would have to be changed
 * twice.
 */
const LATEST_ONLY_MILLISECONDS = 150;
/**
 * Minimum number of activations, reduced by age, in a view that is planned by.
 */
const MIN_ACTIVATIONS = 2_000;

/**
 * What one rank counted between its last two readings, and when it was added.
 */
interface RankReading {
  chosen: number[];
  at: number;
}

/**
 * The demand of a group's requests for experts. Normally this is a long view
 * over some seconds; when demand has shifted, the latest readings replace it.
 * Designed for demand that changes every few seconds, for all requests at once,
 * and is stable in between.
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

  /** Demand by layer and expert, in any unit. */
  get load(): readonly number[][] {
    return this.#longView.decayedCounts;
  }

  /** Whether enough was counted to plan by. */
  get known(): boolean {
    return this.#longView.weight >= MIN_ACTIVATIONS;
  }

  /** When counts were last added, by the clock of `add`. */
  get addedAt(): number {
    return this.#addedAt;
  }

  /** Distance between the two views when last computed, from 0 to 1. */
  get distance(): number {
    return this.#distance;
  }

  /** When a shift was last detected, by the clock of `add`. */
  get shiftDetectedAt(): number {
    return this.#shiftDetectedAt;
  }

  /** Number of shifts detected so far. */
  get shifts(): number {
    return this.#shifts;
  }

  /** Adds the activations that one rank counted, layer after layer. */
  add(rank: number, chosen: number[], now: number): void {
    if (chosen.length === 0) return;
    this.#addedAt = now;
    this.#longView.add(chosen, now);
    this.#latestReadings.set(rank, { chosen, at: now });
  }

  /** Replaces the long view by the latest readings if demand has shifted. */
  detectShift(now: number): void {
    const latest = this.#latestMeter(now);
    if (latest.weight < MIN_ACTIVATIONS) return;
    this.#distance = activationMeter.distanceOf(latest, this.#longView);
    const sinceDetected = now - this.#shiftDetectedAt;
    if (this.#isShift(this.#distance)) {
      if (sinceDetected > LATEST_ONLY_MILLISECONDS) this.#shifts++;
      this.#shiftDetectedAt = now;
    } else if (sinceDetected > LATEST_ONLY_MILLISECONDS) {
      return;
    }
    this.#longView.copyFrom(latest);
  }

  /**
   * Whether a distance is larger than chance explains. Learns the usual
   * distance on the way.
   */
  #isShift(distance: number): boolean {
    const minDistance = Math.max(
      MIN_SHIFT_DISTANCE,
      this.#usualDistance * MIN_SHIFT_IN_USUAL_DISTANCES,
    );
    const ordinary = Math.min(distance, minDistance);
    this.#usualDistance +=
      NEWEST_DISTANCE_WEIGHT * (ordinary - this.#usualDistance);
    return distance >= minDistance;
  }

  /** The latest reading of each rank, without those that are too old. */
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
