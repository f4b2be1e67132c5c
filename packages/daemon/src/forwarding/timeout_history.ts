import * as common from "@geraniumkeel/common";
import * as timeoutVariation from "./timeout_variation.ts";

/**
 * Time for which the longest timeout is remembered. Callers of one account use
 * a route several times a minute. Timeouts that become shorter for good count
 * as the usual ones after twice this time.
 */
const WINDOW_MILLISECONDS = 30_000;
/**
 * Maximum number of pairs of route and account that are remembered. At 20 bytes
 * a key they take a megabyte.
 */
const MAX_KEYS = 20_000;
/** Maximum number of routes whose variation of timeouts is remembered. */
const MAX_ROUTES = 2_000;

/**
 * Remembers the longest timeout with which the callers of each account used
 * each route. A caller that retries after a refusal or a broken connection
 * sends a new request, but with a timeout that is shorter by the time it has
 * spent already. The difference shows how long the caller has been waiting,
 * unless the timeouts of first tries differ as much among themselves. This
 * matters in the seconds after an outage, when retries and first tries arrive
 * together.
 */
export class TimeoutHistory {
  #longestTimeouts = new Map<string, number>();
  #previousLongestTimeouts = new Map<string, number>();
  #windowStartedAt = common.now();
  readonly #variations = new Map<string, timeoutVariation.TimeoutVariation>();

  /**
   * Estimates the milliseconds that a caller spent on earlier tries: the usual
   * timeout of its account on the route, minus the timeout of this request; 0
   * if the timeouts of first tries differ by that much.
   */
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
    const longestKnown = Math.max(usualTimeout, timeoutMilliseconds);
    if (longestKnown === 0) return 0;
    const fraction = timeoutMilliseconds / longestKnown;
    return this.#variationOf(route).note(fraction) * longestKnown;
  }

  #variationOf(route: string): timeoutVariation.TimeoutVariation {
    const existing = this.#variations.get(route);
    if (existing) return existing;
    if (this.#variations.size >= MAX_ROUTES) this.#variations.clear();
    const created = new timeoutVariation.TimeoutVariation();
    this.#variations.set(route, created);
    return created;
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
