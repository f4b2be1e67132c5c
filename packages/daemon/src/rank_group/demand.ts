import * as choiceMeter from "./choice_meter.ts";

/**
 * Half-lives of the two views of demand, in milliseconds. A group runs some
 * twenty streams at once, each of one topic for about a second: shorter views
 * show which streams happen to run, and a map made for them is late before it is
 * loaded.
 */
const RECENT_HALF_LIFE_MILLISECONDS = 200;
const SETTLED_HALF_LIFE_MILLISECONDS = 1_200;
/**
 * Distance between the two views that means a shift of demand, 0 to 1. Chance
 * alone was seen to give up to 0.07; after a shift of half of what is liked it
 * passes 0.1 within 0.2 s and goes on to 0.3.
 */
const SHIFT_DISTANCE = 0.12;
/** Choices, by weight, below which the recent view says nothing. */
const LEAST_WEIGHT = 2_000;

/**
 * What a group's requests choose: a long view, that is given up for a short one
 * when demand has shifted. For days on which what is liked changes every few
 * seconds and stays in between.
 */
export class Demand {
  readonly #recent: choiceMeter.ChoiceMeter;
  readonly #settled: choiceMeter.ChoiceMeter;
  #addedAt = -Infinity;
  #distance = 0;
  #shifts = 0;

  constructor(readonly expertsPerLayer: number) {
    this.#recent = new choiceMeter.ChoiceMeter({
      halfLifeMilliseconds: RECENT_HALF_LIFE_MILLISECONDS,
      expertsPerLayer,
    });
    this.#settled = new choiceMeter.ChoiceMeter({
      halfLifeMilliseconds: SETTLED_HALF_LIFE_MILLISECONDS,
      expertsPerLayer,
    });
  }

  /** Load by layer and expert, in any unit. */
  get load(): readonly number[][] {
    return this.#settled.rates;
  }

  /** Whether enough was counted to plan by. */
  get known(): boolean {
    return this.#settled.weight >= LEAST_WEIGHT;
  }

  /** When anything was last added, by the clock of `add`. */
  get addedAt(): number {
    return this.#addedAt;
  }

  /** Distance between the two views when it was last looked at. */
  get distance(): number {
    return this.#distance;
  }

  /** Shifts seen so far. */
  get shifts(): number {
    return this.#shifts;
  }

  /** Adds what one rank counted, layer after layer. */
  add(chosen: number[], now: number): void {
    this.#addedAt = now;
    this.#recent.add(chosen, now);
    this.#settled.add(chosen, now);
  }

  /** Takes the recent view for the settled one if demand has shifted. */
  noticeShift(): void {
    if (this.#recent.weight < LEAST_WEIGHT) return;
    this.#distance = choiceMeter.distanceOf(this.#recent, this.#settled);
    if (this.#distance < SHIFT_DISTANCE) return;
    this.#settled.copyFrom(this.#recent);
    this.#shifts++;
  }
}
