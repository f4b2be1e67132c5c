import * as common from "@geraniumkeel/common";

/**
 * Time for which the longest patience is remembered, in milliseconds. Callers of
 * one account ask for a route several times a minute; patience that was shortened
 * for good is taken for the usual one after two such times.
 */
const WINDOW_MILLISECONDS = 30_000;
/** Routes and accounts remembered at most: 20 bytes of key each, a megabyte. */
const MAX_KEYS = 20_000;

/**
 * How long the callers of each account wait on each route. A caller that comes back
 * after a refusal or a broken connection is a new request to us, but its patience is
 * shorter by the time it has spent: that tells how old its wish is. For the seconds
 * after an outage, when those that come back and those that come first meet.
 */
export class TimeoutHistory {
  #longestTimeouts = new Map<string, number>();
  #previousLongestTimeouts = new Map<string, number>();
  #windowStartedAt = common.now();

  /** Time in milliseconds that a caller has spent before it came here. */
  spentBefore(parameters: {
    route: string;
    account: string;
    timeoutMilliseconds: number;
  }): number {
    const { route, account, timeoutMilliseconds } = parameters;
    this.#rotate();
    const key = `${route} ${account}`;
    const longest = this.#longestTimeouts.get(key) ?? 0;
    if (timeoutMilliseconds > longest)
      this.#longestTimeouts.set(key, timeoutMilliseconds);
    const usualTimeout = Math.max(
      longest,
      this.#previousLongestTimeouts.get(key) ?? 0,
    );
    return Math.max(0, usualTimeout - timeoutMilliseconds);
  }

  #rotate(): void {
    const now = common.now();
    const full = this.#longestTimeouts.size >= MAX_KEYS;
    if (!full && now - this.#windowStartedAt < WINDOW_MILLISECONDS) return;
    this.#previousLongestTimeouts = this.#longestTimeouts;
    this.#longestTimeouts = new Map();
    this.#windowStartedAt = now;
  }
}
