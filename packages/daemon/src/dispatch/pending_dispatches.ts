/**
 * Own dispatches that a runner's last load report does not include yet. Without
 * them an entry would send burst after burst to a runner that looked idle in a
 * report older than the first of them.
 */
export class PendingDispatches {
  #pending: { number: number; promptTokens: number }[] = [];
  #sent = 0;

  /** Dispatches not reported yet. */
  get count(): number {
    return this.#pending.length;
  }

  /** Their prompt tokens. */
  get promptTokens(): number {
    return this.#pending.reduce((sum, one) => sum + one.promptTokens, 0);
  }

  /** Notes a dispatch. */
  add(promptTokens: number): void {
    this.#sent++;
    this.#pending.push({ number: this.#sent, promptTokens });
  }

  /** A report includes the first `count` dispatches over this link. */
  reported(count: number): void {
    this.#pending = this.#pending.filter(({ number }) => number > count);
  }

  /** A new link counts from nothing. */
  reset(): void {
    this.#pending = [];
    this.#sent = 0;
  }
}
