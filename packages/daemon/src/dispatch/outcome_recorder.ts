import * as common from "@geraniumkeel/common";
import type * as answerSink from "./answer_sink.ts";
import * as claimStore from "./claim_store.ts";
import type * as recordingSink from "./recording_sink.ts";
import * as request from "./request.ts";
import type * as runnerLink from "./runner_link.ts";

/** Writes into claims how their attempts ended. */
export class OutcomeRecorder {
  constructor(
    readonly parameters: {
      claims: claimStore.ClaimStore;
      lifeCycle: common.LifeCycle;
    },
  ) {}

  /** Writes how a claimed attempt ended, and says it to the caller at once. */
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
        const state = claimStore.ClaimState.Settled;
        // The answer need not wait for this write: until it is done, a repeated
        // request collects the answer from the runner.
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
        const state = claimStore.ClaimState.Unsettled;
        this.parameters.lifeCycle.run("settle", async () => {
          await this.changeClaim(key, stored, { state });
        });
        return unfinishedResult(recording, outcome.reason);
      }
      case request.AttemptOutcomeKind.Unsettled:
        // The claim stays: when the runner is heard again, it can still tell.
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

  /** Changes a held claim; false if it is held no more or the store is away. */
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

/** What is told when it is not known whether a request ran. */
export function mayHaveRun(reason: string): request.RequestResult {
  return { kind: request.ResultKind.MayHaveRun, reason };
}

/** What is told of an answer that broke off. */
export function unfinishedResult(
  sink: answerSink.AnswerSink,
  reason: string,
): request.RequestResult {
  if (sink.delivered) return { kind: request.ResultKind.Incomplete, reason };
  return mayHaveRun(reason);
}
