import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as answerSink from "./answer_sink.ts";
import * as claimOutcomes from "./claim_outcomes.ts";
import * as claimStore from "./claim_store.ts";
import * as conductAttempt from "./conduct_attempt.ts";
import * as keepingSink from "./keeping_sink.ts";
import * as request from "./request.ts";
import type * as runnerDirectory from "./runner_directory.ts";

/** What an existing claim leaves to do. */
export type Resolution =
  | { kind: "result"; result: request.RequestResult }
  /** The claimed attempt never ran and never will: the claim is ours to use. */
  | { kind: "take-over"; base: claimStore.HeldClaim };

/** Finds out what to do about a claim that is there already. */
export class ClaimTakeover {
  constructor(
    readonly parameters: {
      outcomes: claimOutcomes.ClaimOutcomes;
      runners: runnerDirectory.RunnerDirectory;
      logger: common.Logger;
      settleAfterMilliseconds: number;
      quarantine: quarantine.Quarantine;
    },
  ) {}

  /** Finds out what became of the attempt that an existing claim names. */
  async resolve(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    key: string,
    digest: string,
    held: claimStore.HeldClaim,
  ): Promise<Resolution> {
    const { claim } = held;
    if (claim.digest !== digest) {
      return result({ kind: request.ResultKind.KeyReused });
    }
    switch (claim.state) {
      case claimStore.ClaimState.Settled:
        return result(await replay(claim, sink));
      case claimStore.ClaimState.Unsettled:
        return result(claimOutcomes.mayHaveRun("its outcome was lost"));
      case claimStore.ClaimState.Claimed:
        return this.#settleClaimed(accepted, sink, key, held);
    }
  }

  async #settleClaimed(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    key: string,
    held: claimStore.HeldClaim,
  ): Promise<Resolution> {
    const { claim } = held;
    const { attempt } = claim;
    const { settleAfterMilliseconds, logger } = this.parameters;
    const runner = this.parameters.runners.get(claim.runner);
    if (!runner?.hello || !runner.linked) {
      return result(claimOutcomes.mayHaveRun("its runner cannot be asked now"));
    }
    if (runner.hello.incarnation !== attempt.agentIncarnation) {
      await this.parameters.outcomes.write(key, held, {
        state: claimStore.ClaimState.Unsettled,
      });
      return result(claimOutcomes.mayHaveRun("its runner was replaced"));
    }
    const state = await runner.settle(attempt, settleAfterMilliseconds);
    logger.event(common.EventCode.ClaimTakenOver, {
      identifier: attempt.identifier,
      from: claim.entry,
      state,
    });
    switch (state) {
      case wire.AttemptState.NeverStarted:
        return { kind: "take-over", base: held };
      case wire.AttemptState.Running:
      case wire.AttemptState.Finished: {
        const keeping = new keepingSink.KeepingSink(sink);
        const outgoing = runner.collect(attempt, accepted.window);
        const { quarantine } = this.parameters;
        const conducted = {
          runner,
          outgoing,
          accepted,
          sink: keeping,
          quarantine,
        };
        const outcome = await conductAttempt.conductAttempt(conducted);
        if (outcome.kind === request.AttemptOutcomeKind.NeverStarted) {
          return { kind: "take-over", base: held };
        }
        return result(
          this.parameters.outcomes.conclude({
            key,
            held,
            outcome,
            keeping,
            runner,
          }),
        );
      }
      case wire.AttemptState.Forgotten:
        await this.parameters.outcomes.write(key, held, {
          state: claimStore.ClaimState.Unsettled,
        });
        return result(claimOutcomes.mayHaveRun("its outcome was forgotten"));
      case undefined:
        return result(claimOutcomes.mayHaveRun("its runner did not answer"));
    }
  }
}

/** Gives the kept answer of a settled claim again. */
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

function result(value: request.RequestResult): Resolution {
  return { kind: "result", result: value };
}
