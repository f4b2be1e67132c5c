import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as claimStore from "./claim_store.ts";
import type * as runnerLink from "./runner_link.ts";

/**
 * Time for which this entry retains the claims that it wrote. It covers the
 * greatest age of a copy from which the table is restored, and the outage
 * before that.
 */
const RETENTION_MILLISECONDS = 30_000;
/** Bounds the memory for retained claims; each may have an answer of 64 KiB. */
const MAX_RETAINED_CLAIMS = 500;
/** Time within which an upstream process must answer with its claims. */
const ANSWER_TIMEOUT_MILLISECONDS = 1_000;
/**
 * Time after a restore of the table for which no keyed request runs while an
 * upstream process has not yet reported its claims. After this time, keyed
 * requests run without the missing reports.
 */
const MAX_WAIT_MILLISECONDS = 10_000;

/** The parts of an entry that `LostClaims` uses. */
export interface LostClaimsParameters {
  claims: claimStore.ClaimStore;
  epoch: backingServices.TableEpoch;
  /** All runners that this entry sends requests to. */
  runners: () => runnerLink.RunnerLink[];
  /** Whether this entry is the one that writes a lost claim again. */
  isOwner: (key: string) => boolean;
  /** Host of this entry. */
  host: string;
}

/**
 * Finds the claims that the table may have lost. A table that is restored from
 * a copy lacks what was written in the last seconds before. If a claim were
 * lost, a caller that repeats its request would find none, and a request that
 * may not be repeated would run twice. The entry that wrote a claim retains it
 * for some seconds, and the upstream process that received the attempt can
 * report it.
 */
export class LostClaims {
  /** Claims that this entry wrote, and when, by claim key. */
  readonly #written = new Map<
    string,
    { claim: claimStore.Claim; at: number }
  >();
  /** Claims that the table may lack, by claim key. */
  readonly #found = new Map<string, Omit<claimStore.Claim, "nonce">>();
  /** Epoch of the table for which all lost claims were gathered. */
  #gatheredEpoch: number | undefined;
  #gathering: Promise<void> | undefined;
  /** When this entry first saw the table's epoch of this number. */
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
   * Gathers all claims that the table may have lost before its present epoch.
   * Returns false while an upstream process that may know of some has not
   * answered.
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

  /** The claim for a key among those gathered; `undefined` if there is none. */
  find(key: string): Omit<claimStore.Claim, "nonce"> | undefined {
    return this.#found.get(key);
  }

  /**
   * Writes the gathered claims that the table lacks and this entry owns.
   * Returns how many it wrote.
   */
  async restore(): Promise<number> {
    const { claims, isOwner } = this.parameters;
    let written = 0;
    for (const [key, claim] of this.#found) {
      if (!isOwner(key)) continue;
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
    // An entry that started after the restore asks only once.
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
