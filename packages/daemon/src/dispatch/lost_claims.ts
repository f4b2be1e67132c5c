import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as claimStore from "./claim_store.ts";
import type * as runnerLink from "./runner_link.ts";

/**
 * Time for which claims that were written here are kept, in milliseconds: the age that a
 * copy of the table has at most, and the outage before its return.
 */
const KEPT_MILLISECONDS = 30_000;
/** Claims kept at most; each may have an answer of 64 KiB. */
const MOST_KEPT = 500;
/** Time for an upstream process to tell its claims. */
const ANSWER_MILLISECONDS = 1_000;
/**
 * Time after the table's return for which no keyed request is run while some upstream
 * process has not told its claims, in milliseconds.
 */
const LONGEST_WAIT_MILLISECONDS = 10_000;

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
  readonly #own = new Map<string, { claim: claimStore.Claim; at: number }>();
  readonly #found = new Map<string, Omit<claimStore.Claim, "nonce">>();
  /** Epoch of the table whose losses were gathered. */
  #gatheredIn: number | undefined;
  #gathering: Promise<void> | undefined;
  /** When the epoch was first seen here. */
  #epochSeen = { number: -1, at: 0 };

  constructor(readonly parameters: LostClaimsParameters) {}

  /** Keeps a claim that was written here. */
  remember(key: string, claim: claimStore.Claim): void {
    const now = common.now();
    this.#own.delete(key);
    this.#own.set(key, { claim, at: now });
    for (const [other, { at }] of this.#own) {
      const isOld = now - at > KEPT_MILLISECONDS;
      if (!isOld && this.#own.size <= MOST_KEPT) return;
      this.#own.delete(other);
    }
  }

  /**
   * Learns of all claims that the table's epoch may lack; false as long as somebody who
   * may know has not answered.
   */
  async gather(): Promise<boolean> {
    const { number } = this.parameters.epoch;
    if (this.#gatheredIn === number) return true;
    this.#gathering ??= this.#gatherOnce().finally(() => {
      this.#gathering = undefined;
    });
    await this.#gathering;
    return this.#gatheredIn === number;
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
      if (outcome.kind === "held") written++;
    }
    return written;
  }

  async #gatherOnce(): Promise<void> {
    const { epoch, runners } = this.parameters;
    const { number, sawBegin } = epoch;
    if (this.#epochSeen.number !== number) {
      this.#epochSeen = { number, at: common.now() };
      this.#found.clear();
    }
    const answers = await Promise.all(
      runners().map(async (runner) => this.#ask(runner)),
    );
    for (const [key, { claim }] of this.#own) this.#found.set(key, claim);
    const allTold = answers.every((told) => told);
    const waited = common.now() - this.#epochSeen.at;
    const isEnough = !sawBegin || waited > LONGEST_WAIT_MILLISECONDS;
    if (allTold || isEnough) this.#gatheredIn = number;
  }

  async #ask(runner: runnerLink.RunnerLink): Promise<boolean> {
    const told = await runner.readClaims(ANSWER_MILLISECONDS);
    for (const { claim, attempt } of told ?? []) {
      this.#found.set(claim.key, this.#claimOf(runner, claim, attempt));
    }
    return told !== undefined;
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
