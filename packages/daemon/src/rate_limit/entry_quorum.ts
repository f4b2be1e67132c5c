import type * as entryCensus from "./entry_census.ts";

/**
 * Silence after which the majority counts an entry as gone. A process that was
 * killed is back, or replaced, within this time.
 */
const GONE_AFTER_MILLISECONDS = 60_000;
/**
 * An entry that is no longer listed although it was reachable within this time
 * has announced that it leaves. One that failed stays listed for longer.
 */
const LEFT_WITHIN_MILLISECONDS = 2_000;
/**
 * An entry that hears no other cannot tell whether it is the only one, or one of
 * many that each know only themselves.
 */
const MIN_MEMBERS = 2;

/**
 * Tells whether a number of entries is the majority of all. Unlike the census,
 * which counts a silent entry as gone after a while also where no majority is
 * heard, it forgets silent entries only while a majority is heard. So of the
 * parts of a divided system at most one is ever the majority.
 */
export class EntryQuorum {
  /** When each other entry was last reachable. */
  readonly #reachableAt = new Map<string, number>();

  /** Applies what this entry sees now. */
  update(seen: entryCensus.SeenEntry[], now: number): void {
    const listed = new Set(seen.map(({ host }) => host));
    for (const { host, reachable } of seen) {
      if (reachable || !this.#reachableAt.has(host))
        this.#reachableAt.set(host, now);
    }
    const heard = seen.filter(({ reachable }) => reachable).length + 1;
    const hearsMajority = this.isMajority(heard);
    for (const [host, reachableAt] of this.#reachableAt) {
      const silentMilliseconds = now - reachableAt;
      const left =
        !listed.has(host) && silentMilliseconds < LEFT_WITHIN_MILLISECONDS;
      const gone =
        silentMilliseconds > GONE_AFTER_MILLISECONDS && hearsMajority;
      if (left || gone) this.#reachableAt.delete(host);
    }
  }

  /** Whether so many entries, this one included, are the majority of all. */
  isMajority(count: number): boolean {
    return count >= MIN_MEMBERS && count > (this.#reachableAt.size + 1) / 2;
  }
}
