import type * as common from "@geraniumkeel/common";
import type * as virtualTime from "./virtual_time.ts";

const RUNNERS = 48;

/** Service time of one request, in milliseconds. */
export const SERVICE_MILLISECONDS = 400;
/** Requests that all runners together answer in a millisecond. */
export const REQUESTS_PER_MILLISECOND = RUNNERS / SERVICE_MILLISECONDS;

/** Runners in virtual time, each with one request at a time. */
export class VirtualRunners {
  #busy = 0;

  constructor(
    readonly parameters: {
      time: virtualTime.VirtualTime;
      random: common.Random;
      /** Told when a runner becomes free. */
      onFree: () => void;
    },
  ) {}

  /** Takes a runner; `undefined` if none is free in this part of all. */
  readonly take = (roomShare = 1): true | undefined => {
    if (this.#busy >= RUNNERS * roomShare) return undefined;
    this.#busy++;
    return true;
  };

  /** Begins to serve at a taken runner; returns when that ends. */
  serve(meanMilliseconds = SERVICE_MILLISECONDS): number {
    const { time, random, onFree } = this.parameters;
    const end = time.clock() + random.between(0.8, 1.2) * meanMilliseconds;
    time.schedule(end, () => {
      this.#busy--;
      onFree();
    });
    return end;
  }
}
