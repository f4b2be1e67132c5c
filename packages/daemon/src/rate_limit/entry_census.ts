/** Another entry, as this one sees it. */
export interface SeenEntry {
  host: string;
  /** Whether a heartbeat of the entry arrived a moment ago. */
  reachable: boolean;
}

/**
 * Silence after which the entries that hear each other, if they are the
 * majority, no longer reserve a part of the limits for an entry.
 */
const RECLAIM_AFTER_MILLISECONDS = 6_000;
/**
 * Silence after which an entry that reaches the store counts another one as
 * gone, even if it hears no majority.
 */
const GONE_AFTER_MILLISECONDS = 60_000;
/**
 * An entry that is no longer listed although it was reachable within this time
 * has announced that it leaves. One that failed stays listed for longer.
 */
const LEFT_WITHIN_MILLISECONDS = 2_000;

/**
 * Counts the entries among which rate limits are shared. An entry that falls
 * silent may be cut off and still send requests, so it keeps its share until
 * the majority reclaims it. Two parts of a divided system cannot both be the
 * majority, so that together they use at most one and a half times a limit.
 */
export class EntryCensus {
  /** When each other entry was last reachable. */
  readonly #reachableAt = new Map<string, number>();

  /** Applies what this entry sees now. */
  update(seen: SeenEntry[], storeReachable: boolean, now: number): void {
    const listed = new Set(seen.map(({ host }) => host));
    for (const { host, reachable } of seen) {
      if (reachable || !this.#reachableAt.has(host))
        this.#reachableAt.set(host, now);
    }
    for (const [host, reachableAt] of this.#reachableAt) {
      const silentMilliseconds = now - reachableAt;
      const left =
        !listed.has(host) && silentMilliseconds < LEFT_WITHIN_MILLISECONDS;
      const gone =
        silentMilliseconds > GONE_AFTER_MILLISECONDS &&
        (storeReachable || this.#hearsMajority(now));
      if (left || gone) this.#reachableAt.delete(host);
    }
  }

  /** Whether an entry other than this one is counted. */
  includes(host: string): boolean {
    return this.#reachableAt.has(host);
  }

  /** Number of entries that have a share, this one included. */
  size(now: number): number {
    return this.#hearsMajority(now) ? this.#heard(now) : this.#known;
  }

  get #known(): number {
    return this.#reachableAt.size + 1;
  }

  /** Entries heard of late, this one included. */
  #heard(now: number): number {
    const oldest = now - RECLAIM_AFTER_MILLISECONDS;
    const heard = [...this.#reachableAt.values()].filter((at) => at >= oldest);
    return heard.length + 1;
  }

  #hearsMajority(now: number): boolean {
    return this.#heard(now) > this.#known / 2;
  }
}
