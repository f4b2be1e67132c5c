/**
 * Number of requests in progress at each runner from all other entries. The
 * sums are updated as counts arrive. Adding up the counts for each choice of a
 * runner would take most of that choice's time: there may be a hundred entries
 * and two hundred runners.
 */
export class OutstandingFromOthers {
  /** Counts of each entry, by the entry's host; each is a map by runner. */
  readonly #countsByEntry = new Map<string, ReadonlyMap<string, number>>();
  readonly #sums = new Map<string, number>();

  /**
   * Replaces the counts that an entry reported: how many requests it has in
   * progress at each runner. `undefined` if the entry is disconnected.
   */
  setCountsOf(
    entry: string,
    counts: ReadonlyMap<string, number> | undefined,
  ): void {
    for (const [runner, count] of this.#countsByEntry.get(entry) ?? []) {
      this.#add(runner, -count);
    }
    this.#countsByEntry.delete(entry);
    if (!counts) return;
    this.#countsByEntry.set(entry, counts);
    for (const [runner, count] of counts) this.#add(runner, count);
  }

  /**
   * Number of requests in progress at a runner, from all other entries
   * together.
   */
  countAt(runner: string): number {
    return this.#sums.get(runner) ?? 0;
  }

  #add(runner: string, count: number): void {
    const sum = this.countAt(runner) + count;
    if (sum === 0) this.#sums.delete(runner);
    else this.#sums.set(runner, sum);
  }
}
