/**
 * Requests under way at runners from all other entries. The sums are kept as counts
 * come in: summed anew for each choice, a hundred entries times two hundred runners
 * would be most of what a choice takes.
 */
export class OutstandingElsewhere {
  readonly #byHost = new Map<string, ReadonlyMap<string, number>>();
  readonly #sums = new Map<string, number>();

  /** Takes the counts of an entry, by runner; `undefined` when it is gone. */
  setCountsOf(
    host: string,
    counts: ReadonlyMap<string, number> | undefined,
  ): void {
    for (const [runner, count] of this.#byHost.get(host) ?? []) {
      this.#add(runner, -count);
    }
    this.#byHost.delete(host);
    if (!counts) return;
    this.#byHost.set(host, counts);
    for (const [runner, count] of counts) this.#add(runner, count);
  }

  /** Requests at a runner, from all other entries together. */
  countAt(runner: string): number {
    return this.#sums.get(runner) ?? 0;
  }

  #add(runner: string, count: number): void {
    const sum = this.countAt(runner) + count;
    if (sum === 0) this.#sums.delete(runner);
    else this.#sums.set(runner, sum);
  }
}
