import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as claimStore from "./claim_store.ts";
import type * as runnerLink from "./runner_link.ts";

/**
 * Time for which claims that were written here are kept, in milliseconds: the age that a
 * copy of the table has at most, and the outage before its return.
 */
const RETENTION_MILLISECONDS = 30_000;
/** Claims kept at most; each may have an answer of 64 KiB. */
const MAX_RETAINED_CLAIMS = 500;
/** Time for an upstream process to tell its claims. */
const ANSWER_TIMEOUT_MILLISECONDS = 1_000;
/**
 * Time after the table's return for which no keyed request is run while some upstream
 * process has not told its claims, in milliseconds.
 */
const MAX_WAIT_MILLISECONDS = 10_000;

/** What gathering claims needs. */
export interface LostClaimsParameters {
  claims: claimStore.ClaimStore;
  epoch: backingServices.TableEpoch;
  /** All runners that this entry sends requests to. */
  runners: () => runnerLink.RunnerLink[];
  /** Whether it is for this entry to write a claim again. */
  isOwner: (key: string) => boolean;
  host: string;
}

/**
 * Claims that the table may have lost with its last seconds. A caller that asks again
 * under its key would find none, and a request that may not be repeated would run twice.
 * Those who know are the entries that wrote them and the processes beside the runners.
 */
export class LostClaims {
  readonly #written = new Map<
    string,
    { claim: claimStore.Claim; at: number }
  >();
  readonly #found = new Map<string, Omit<claimStore.Claim, "nonce">>();
  /** Epoch of the table whose losses were gathered. */
  #gatheredEpoch: number | undefined;
  #gathering: Promise<void> | undefined;
  /** When the epoch was first seen here. */
  #epochFirstSeen = { number: -1, at: 0 };

  constructor(readonly parameters: LostClaimsParameters) {}

  /** Keeps a claim that was written here. */
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
   * Learns of all claims that the table's epoch may lack; false as long as somebody who
   * may know has not answered.
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

  /** A claim that the table lost; `undefined` if none is known. */
  find(key: string): Omit<claimStore.Claim, "nonce"> | undefined {
    return this.#found.get(key);
  }

  /** Writes again what was found and is not in the table; the number of claims. */
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
    if (this.#epochFirstSeen.number !== number) {
      this.#epochFirstSeen = { number, at: common.now() };
      this.#found.clear();
    }
    const answers = await Promise.all(
      runners().map(async (runner) => this.#ask(runner)),
    );
    for (const [key, { claim }] of this.#written) this.#found.set(key, claim);
    const allAnswered = answers.every((answered) => answered);
    const waited = common.now() - this.#epochFirstSeen.at;
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
