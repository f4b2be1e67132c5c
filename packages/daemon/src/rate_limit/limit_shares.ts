import * as common from "@geraniumkeel/common";
import * as entryCensus from "./entry_census.ts";
import * as entryQuorum from "./entry_quorum.ts";
import type * as limitedRunner from "./limited_runner.ts";

/** What sharing limits needs of its entry. */
export interface LimitSharesParameters {
  /** Host of this entry. */
  host: string;
  /** The other entries that this one knows. */
  entries: () => entryCensus.SeenEntry[];
  /** Whether the other entries are known, so that shares can be counted. */
  entriesKnown: () => boolean;
  storeReachable: () => boolean;
  /** Whether this entry leaves, and so allocates nothing more. */
  leaving: () => boolean;
}

/** Which part of each limit this entry allocates, and to whom it delegates. */
export class LimitShares {
  readonly #census = new entryCensus.EntryCensus();
  readonly #quorum = new entryQuorum.EntryQuorum();

  constructor(readonly parameters: LimitSharesParameters) {}

  /** Counts the entries. */
  update(now: number): void {
    const { entries, storeReachable } = this.parameters;
    const seen = entries();
    this.#census.update(seen, storeReachable(), now);
    this.#quorum.update(seen, now);
  }

  /** Number of entries that have a share, this one included. */
  size(now: number): number {
    return this.#census.size(now);
  }

  /** Entry to which this one delegates its share; empty for none. */
  allocatorOf(limited: limitedRunner.LimitedRunner): string {
    return limited.delegations.allocatorOf(this.parameters.host) ?? "";
  }

  /**
   * Part of a limit, from 0 to 1, that this entry allocates now. While a runner
   * warms up, only an entry to which the majority delegates allocates, and that
   * one the whole limit: shares of several allocators are counted by each on its
   * own, and in a divided system add up to one and a half, or to more after a
   * minute. A runner that names a limit refuses what is too much; one that warms
   * up crashes.
   */
  shareOf(limited: limitedRunner.LimitedRunner, now: number): number {
    const { host, entries, entriesKnown } = this.parameters;
    if (!entriesKnown()) return 0;
    const reachable = new Set(
      entries().flatMap((entry) => (entry.reachable ? [entry.host] : [])),
    );
    const delegators = limited.delegations
      .delegatorsOf(host, now)
      .filter((entry) => entry === host || reachable.has(entry));
    if (limited.isWarmingUp)
      return this.#quorum.isMajority(delegators.length) ? 1 : 0;
    const counted = delegators.filter(
      (entry) => entry === host || this.#census.includes(entry),
    );
    return Math.min(1, counted.length / this.#census.size(now));
  }

  /**
   * Delegates this entry's share to the entry that all of them prefer; returns
   * whether that is another one than before.
   */
  delegate(limited: limitedRunner.LimitedRunner, now: number): boolean {
    const { host, entries, leaving } = this.parameters;
    const candidates = entries()
      .filter(({ reachable }) => reachable)
      .map((entry) => entry.host);
    if (!leaving()) candidates.push(host);
    const allocator = common.rendezvous(limited.incarnation, candidates);
    if (allocator === undefined) return false;
    return limited.delegations.set(host, allocator, now);
  }
}
