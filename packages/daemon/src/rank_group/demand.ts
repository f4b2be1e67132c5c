import * as activationMeter from "./activation_meter.ts";

/**
 * Half-life of demand as it is planned by, in milliseconds. A group runs some fifty
 * streams at once, each of one topic for about a second: a shorter view shows which
 * streams happen to run, and maps made for them are changed again and again.
 */
const HALF_LIFE_MILLISECONDS = 2_000;
/** Age up to which the latest reading of a rank tells of now. */
const MAX_READING_AGE_MILLISECONDS = 250;
/**
 * Distance between the latest readings and the long view that means a shift of
 * demand, 0 to 1, and the same in times the usual distance. A shift of half of what is
 * liked shows whole in every reading that begins after it. Chance gives less, but more
 * the fewer streams there are: taken for a shift, it has a small group plan by a
 * quarter of a second's streams.
 */
const MIN_SHIFT_DISTANCE = 0.12;
const MIN_SHIFT_IN_USUAL_DISTANCES = 2;
/** What chance gives before any distance was seen, and the weight of a new one. */
const INITIAL_USUAL_DISTANCE = 0.06;
const NEWEST_DISTANCE_WEIGHT = 0.08;
/**
 * Time after a shift was seen in which the latest readings alone are gone by. The
 * first of them began before the shift and are half of the past: kept, they would have
 * the map made twice.
 */
const LATEST_ONLY_MILLISECONDS = 150;
/** Choices, by weight, below which a view says nothing. */
const MIN_ACTIVATIONS = 2_000;

/** What one rank counted since it was read before. */
interface RankReading {
  chosen: number[];
  at: number;
}

/**
 * What a group's requests choose: a long view, that is given up for the latest
 * readings when demand has shifted. For days on which what is liked changes every few
 * seconds, for all requests at once, and stays in between.
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

  /** Load by layer and expert, in any unit. */
  get load(): readonly number[][] {
    return this.#longView.decayedCounts;
  }

  /** Whether enough was counted to plan by. */
  get known(): boolean {
    return this.#longView.weight >= MIN_ACTIVATIONS;
  }

  /** When anything was last added, by the clock of `add`. */
  get addedAt(): number {
    return this.#addedAt;
  }

  /** Distance between the two views when it was last looked at. */
  get distance(): number {
    return this.#distance;
  }

  /** When a shift was last seen, by the clock of `add`. */
  get shiftDetectedAt(): number {
    return this.#shiftDetectedAt;
  }

  /** Shifts seen so far. */
  get shifts(): number {
    return this.#shifts;
  }

  /** Adds what one rank counted, layer after layer. */
  add(rank: number, chosen: number[], now: number): void {
    if (chosen.length === 0) return;
    this.#addedAt = now;
    this.#longView.add(chosen, now);
    this.#latestReadings.set(rank, { chosen, at: now });
  }

  /** Goes by the latest readings if demand has shifted. */
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

  /** Whether a distance is more than chance; what chance gives is learned. */
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

  /** The latest reading of each rank, all as of now. */
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
