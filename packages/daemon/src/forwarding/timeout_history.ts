import * as common from "@geraniumkeel/common";

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

/**
 * Remembers the longest timeout with which the callers of each account used
 * each route. A caller that retries after a refusal or a broken connection
 * sends a new request, but with a timeout that is shorter by the time it has
 * spent already. The difference shows how long the caller has been waiting.
 * This matters in the seconds after an outage, when retries and first tries
 * arrive together.
 */
export class TimeoutHistory {
  #longestTimeouts = new Map<string, number>();
  #previousLongestTimeouts = new Map<string, number>();
  #windowStartedAt = common.now();

  /**
   * Estimates the milliseconds that a caller spent on earlier tries: the usual
   * timeout of its account on the route, minus the timeout of this request.
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
