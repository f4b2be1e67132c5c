import * as common from "@geraniumkeel/common";
import type * as answerSink from "./answer_sink.ts";
import * as claimStore from "./claim_store.ts";
import type * as recordingSink from "./recording_sink.ts";
import * as request from "./request.ts";
import type * as runnerLink from "./runner_link.ts";

/**
 * Records the outcomes of attempts in their claims, so that entries can answer
 * a request that the caller sends again with the same idempotency key, and
 * turns each outcome into the result for the caller.
 */
export class OutcomeRecorder {
  constructor(
    readonly parameters: {
      claims: claimStore.ClaimStore;
      lifeCycle: common.LifeCycle;
    },
  ) {}

  /**
   * Returns the caller's result at once. If the attempt completed or broke off,
   * writes that to the claim in the background; after any other outcome the
   * claim stays in the state `Claimed`.
   */
  recordOutcome(parameters: {
    key: string;
    stored: claimStore.StoredClaim;
    outcome: request.AttemptOutcome;
    recording: recordingSink.RecordingSink;
    runner: runnerLink.RunnerLink;
  }): request.RequestResult {
    const { key, stored, outcome, recording, runner } = parameters;
    const { attempt } = stored.claim;
    switch (outcome.kind) {
      case request.AttemptOutcomeKind.Complete: {
        const answer = recording.answer;
        const state = claimStore.ClaimState.Completed;
        // The caller's result does not wait for this write. Until the write is
        // done, a request that the caller sends again collects the answer from
        // the runner; only afterwards does the entry let the runner drop the
        // answer.
        this.parameters.lifeCycle.run("settle", async () => {
          const written = await this.changeClaim(key, stored, {
            state,
            answer,
          });
          if (written) runner.close(attempt, true);
        });
        const { finishReason, promptTokens } = outcome;
        const kind = request.ResultKind.Complete;
        const { name } = runner.host;
        return { kind, finishReason, promptTokens, runner: name };
      }
      case request.AttemptOutcomeKind.Broken: {
        const state = claimStore.ClaimState.MayHaveRun;
        this.parameters.lifeCycle.run("settle", async () => {
          await this.changeClaim(key, stored, { state });
        });
        return unfinishedResult(recording, outcome.reason);
      }
      case request.AttemptOutcomeKind.Unsettled:
        // Once the runner is reachable again, it can still report the outcome.
        return unfinishedResult(recording, outcome.reason);
      case request.AttemptOutcomeKind.Deadline:
        return unfinishedResult(recording, "deadline passed");
      case request.AttemptOutcomeKind.Quarantined:
        return unfinishedResult(recording, "put in quarantine");
      case request.AttemptOutcomeKind.CallerGone:
      case request.AttemptOutcomeKind.NeverStarted:
        return { kind: request.ResultKind.CallerGone };
    }
  }

  /**
   * Changes a claim in the table. Returns false if the row has changed since
   * this entry read or wrote it, or if the table service does not confirm the
   * write.
   */
  async changeClaim(
    key: string,
    stored: claimStore.StoredClaim,
    change: Pick<claimStore.Claim, "state" | "answer">,
  ): Promise<boolean> {
    const claim = { ...stored.claim, ...change };
    const written = await this.parameters.claims.write({
      key,
      claim,
      base: stored,
    });
    return written.kind === "written";
  }
}

/** Result of a request that may have run or not. */
export function mayHaveRun(reason: string): request.RequestResult {
  return { kind: request.ResultKind.MayHaveRun, reason };
}

/**
 * Result of a request whose answer will not be completed: `Incomplete` if the
 * caller has received part of it, otherwise `MayHaveRun`.
 */
export function unfinishedResult(
  sink: answerSink.AnswerSink,
  reason: string,
): request.RequestResult {
  if (sink.delivered) return { kind: request.ResultKind.Incomplete, reason };
  return mayHaveRun(reason);
}
