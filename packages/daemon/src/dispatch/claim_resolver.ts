import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as answerSink from "./answer_sink.ts";
import * as outcomeRecorder from "./outcome_recorder.ts";
import * as claimStore from "./claim_store.ts";
import * as followAttempt from "./follow_attempt.ts";
import * as recordingSink from "./recording_sink.ts";
import * as request from "./request.ts";
import type * as runnerDirectory from "./runner_directory.ts";

/** Result of resolving a claim that was already in the table. */
export type ClaimResolution =
  /** The request has its final result. */
  | { kind: "result"; result: request.RequestResult }
  /**
   * The claimed attempt never ran and never will: this entry may write its own
   * claim in place of `base`.
   */
  | { kind: "take-over"; base: claimStore.StoredClaim };

/**
 * Resolves a claim that is in the table already when a request arrives with the
 * same idempotency key. Depending on the state of the claimed attempt, it
 * replays the stored answer, collects the answer from the runner, returns
 * `MayHaveRun`, or lets the entry write its own claim because the attempt never
 * ran. In the reason texts, which callers receive, "its" refers to the claimed
 * attempt.
 */
export class ClaimResolver {
  constructor(
    readonly parameters: {
      recorder: outcomeRecorder.OutcomeRecorder;
      runners: runnerDirectory.RunnerDirectory;
      logger: common.Logger;
      /** Longest wait for a runner's answer to `RunnerLink.settle`. */
      settleTimeoutMilliseconds: number;
      quarantine: quarantine.Quarantine;
    },
  ) {}

  /**
   * Resolves an existing claim. `digest` is the digest of the present request;
   * a claim with another one belongs to a different request.
   */
  async resolve(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    key: string,
    digest: string,
    stored: claimStore.StoredClaim,
  ): Promise<ClaimResolution> {
    const { claim } = stored;
    if (claim.digest !== digest) {
      return resolvedWith({ kind: request.ResultKind.KeyReused });
    }
    switch (claim.state) {
      case claimStore.ClaimState.Completed:
        return resolvedWith(await replay(claim, sink));
      case claimStore.ClaimState.MayHaveRun:
        return resolvedWith(outcomeRecorder.mayHaveRun("its outcome was lost"));
      case claimStore.ClaimState.Claimed:
        return this.#settleAttempt(accepted, sink, key, stored);
    }
  }

  /**
   * Settles a claimed attempt at its runner, and collects its answer if it is
   * running or finished there.
   */
  async #settleAttempt(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    key: string,
    stored: claimStore.StoredClaim,
  ): Promise<ClaimResolution> {
    const { claim } = stored;
    const { attempt } = claim;
    const { settleTimeoutMilliseconds, logger } = this.parameters;
    const runner = this.parameters.runners.get(claim.runner);
    if (!runner?.hello || !runner.linked) {
      return resolvedWith(
        outcomeRecorder.mayHaveRun("its runner cannot be asked now"),
      );
    }
    // Another incarnation of the upstream process does not know the attempt.
    if (runner.hello.incarnation !== attempt.agentIncarnation) {
      await this.parameters.recorder.changeClaim(key, stored, {
        state: claimStore.ClaimState.MayHaveRun,
      });
      return resolvedWith(
        outcomeRecorder.mayHaveRun("its runner was replaced"),
      );
    }
    const state = await runner.settle(attempt, settleTimeoutMilliseconds);
    // Logged for every state, not only if the claim is taken over. `state` is
    // `undefined` if the runner did not answer.
    logger.event(common.EventCode.ClaimTakenOver, {
      identifier: attempt.identifier,
      from: claim.entry,
      state,
    });
    switch (state) {
      case wire.AttemptState.NeverStarted:
        return { kind: "take-over", base: stored };
      case wire.AttemptState.Running:
      case wire.AttemptState.Finished: {
        const recording = new recordingSink.RecordingSink(sink);
        const outgoing = runner.collect(attempt, accepted.window);
        const { quarantine } = this.parameters;
        const followed = {
          runner,
          outgoing,
          accepted,
          sink: recording,
          quarantine,
        };
        const outcome = await followAttempt.followAttempt(followed);
        if (outcome.kind === request.AttemptOutcomeKind.NeverStarted) {
          return { kind: "take-over", base: stored };
        }
        return resolvedWith(
          this.parameters.recorder.recordOutcome({
            key,
            stored,
            outcome,
            recording,
            runner,
          }),
        );
      }
      case wire.AttemptState.Forgotten:
        await this.parameters.recorder.changeClaim(key, stored, {
          state: claimStore.ClaimState.MayHaveRun,
        });
        return resolvedWith(
          outcomeRecorder.mayHaveRun("its outcome was forgotten"),
        );
      case undefined:
        return resolvedWith(
          outcomeRecorder.mayHaveRun("its runner did not answer"),
        );
    }
  }
}

/**
 * Sends the stored answer of a completed claim to the caller. If no answer is
 * stored, sends nothing and returns `RanBefore`. A claim stores neither the
 * finish reason nor the number of prompt tokens, so a replayed answer always
 * has `Stop` and 0.
 */
async function replay(
  claim: claimStore.Claim,
  sink: answerSink.AnswerSink,
): Promise<request.RequestResult> {
  const { answer } = claim;
  if (!answer) return { kind: request.ResultKind.RanBefore };
  sink.head(answer.head);
  await sink.pieces([Buffer.from(answer.body, "base64")]);
  return {
    kind: request.ResultKind.Complete,
    finishReason: wire.FinishReason.Stop,
    promptTokens: 0,
    runner: claim.runner,
  };
}

function resolvedWith(value: request.RequestResult): ClaimResolution {
  return { kind: "result", result: value };
}
