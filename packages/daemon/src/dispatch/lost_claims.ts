import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as claimStore from "./claim_store.ts";
import type * as runnerLink from "./runner_link.ts";

/**
 * Time for which this entry retains the claims that it wrote. It covers the
 * greatest age of a copy from which the table is restored, and the table's
 * outage before the restore.
 */
const RETENTION_MILLISECONDS = 30_000;
/**
 * Bounds the memory for retained claims. A claim may contain an answer of 64
 * KiB; those that `remember` is called with at present contain none yet.
 */
const MAX_RETAINED_CLAIMS = 500;
/** Time within which an upstream process must report its claims. */
const ANSWER_TIMEOUT_MILLISECONDS = 1_000;
/**
 * Longest wait for missing reports of upstream processes, from this entry's
 * first `gather` in a new epoch of the table. Until then, an entry that saw the
 * epoch begin sends no keyed request to a runner while a report is missing.
 * Afterwards it does without the missing reports.
 */
const MAX_WAIT_MILLISECONDS = 10_000;

/** The parts of an entry that `LostClaims` uses. */
export interface LostClaimsParameters {
  claims: claimStore.ClaimStore;
  epoch: backingServices.TableEpoch;
  /** All runners that this entry sends requests to. */
  runners: () => runnerLink.RunnerLink[];
  /** Whether it is this entry's duty to write a lost claim to the table. */
  isOwner: (key: string) => boolean;
  /** Host of this entry. */
  host: string;
}

/**
 * Gathers the claims that the table may have lost. A table that is restored
 * from a copy lacks what was written after the copy was made, which is some
 * seconds; each restore begins a new epoch of the table. If a claim were lost,
 * an entry would find none when the caller sends a non-repeatable request
 * again, and the request could run twice. Two processes know a lost claim: the
 * entry that wrote it retains it for some seconds, and the upstream process
 * that received the attempt can report it.
 */
export class LostClaims {
  /** Claims that this entry wrote, and when, by claim key. */
  readonly #written = new Map<
    string,
    { claim: claimStore.Claim; at: number }
  >();
  /**
   * Claims gathered in the present epoch, by claim key. The table may have lost
   * them or not.
   */
  readonly #found = new Map<string, Omit<claimStore.Claim, "nonce">>();
  /** Epoch of the table for which gathering is complete. */
  #gatheredEpoch: number | undefined;
  #gathering: Promise<void> | undefined;
  /**
   * Epoch in which this entry last gathered claims, and when it first did so.
   */
  #firstGather = { number: -1, at: 0 };

  constructor(readonly parameters: LostClaimsParameters) {}

  /** Retains a claim that this entry has written. */
  remember(key: string, claim: claimStore.Claim): void {
    const now = common.now();
    this.#written.delete(key);
    this.#written.set(key, { claim, at: now });
    for (const [other, { at }] of this.#written) {
      const isOld = now - at > RETENTION_MILLISECONDS;
      if (!isOld && this.#written.size <= MAX_RETAINED_CLAIMS) return;
      this.#written.delete(other);
    }
  }

  /**
   * Gathers, once in each epoch of the table, the claims that the table may
   * have lost in the restore that began the epoch. Returns whether gathering is
   * complete, so that keyed requests may run. It is not while a report of an
   * upstream process is missing, unless this entry did not see the epoch begin
   * or has waited for `MAX_WAIT_MILLISECONDS`.
   */
  async gather(): Promise<boolean> {
    const { number } = this.parameters.epoch;
    if (this.#gatheredEpoch === number) return true;
    this.#gathering ??= this.#gatherOnce().finally(() => {
      this.#gathering = undefined;
    });
    await this.#gathering;
    return this.#gatheredEpoch === number;
  }

  /** The gathered claim for a key; `undefined` if there is none. */
  find(key: string): Omit<claimStore.Claim, "nonce"> | undefined {
    return this.#found.get(key);
  }

  /**
   * Writes those gathered claims to the table that it has lost and that are
   * this entry's duty (`isOwner`). Returns how many it wrote.
   */
  async restore(): Promise<number> {
    const { claims, isOwner } = this.parameters;
    let written = 0;
    for (const [key, claim] of this.#found) {
      if (!isOwner(key)) continue;
      // Without `base`, the write fails if the table has a claim for the key.
      const outcome = await claims.write({ key, claim, base: undefined });
      if (outcome.kind === "written") written++;
    }
    return written;
  }

  async #gatherOnce(): Promise<void> {
    const { epoch, runners } = this.parameters;
    const { number, sawBegin } = epoch;
    if (this.#firstGather.number !== number) {
      this.#firstGather = { number, at: common.now() };
      this.#found.clear();
    }
    const answers = await Promise.all(
      runners().map(async (runner) => this.#ask(runner)),
    );
    for (const [key, { claim }] of this.#written) this.#found.set(key, claim);
    const allAnswered = answers.every((answered) => answered);
    const waited = common.now() - this.#firstGather.at;
    // An entry that did not see the epoch begin asks only once: it cannot tell
    // how long ago the epoch began, or whether a restore began it.
    const mayProceed = !sawBegin || waited > MAX_WAIT_MILLISECONDS;
    if (allAnswered || mayProceed) this.#gatheredEpoch = number;
  }

  async #ask(runner: runnerLink.RunnerLink): Promise<boolean> {
    const answer = await runner.readClaims(ANSWER_TIMEOUT_MILLISECONDS);
    for (const { claim, attempt } of answer ?? []) {
      this.#found.set(claim.key, this.#claimOf(runner, claim, attempt));
    }
    return answer !== undefined;
  }

  #claimOf(
    runner: runnerLink.RunnerLink,
    { digest }: wire.AttemptClaim,
    attempt: wire.Attempt,
  ): Omit<claimStore.Claim, "nonce"> {
    return {
      digest,
      state: claimStore.ClaimState.Claimed,
      entry: this.parameters.host,
      runner: runner.host.name,
      attempt,
      createdAt: Date.now(),
    };
  }
}
