import * as common from "@geraniumkeel/common";
import type * as answerSink from "./answer_sink.ts";
import * as claimStore from "./claim_store.ts";
import type * as keepingSink from "./keeping_sink.ts";
import * as request from "./request.ts";
import type * as runnerLink from "./runner_link.ts";

/** Writes into claims how their attempts ended. */
export class ClaimOutcomes {
  constructor(
    readonly parameters: {
      claims: claimStore.ClaimStore;
      lifeCycle: common.LifeCycle;
    },
  ) {}

  /** Writes how a claimed attempt ended, and says it to the caller at once. */
  conclude(parameters: {
    key: string;
    held: claimStore.HeldClaim;
    outcome: request.AttemptOutcome;
    keeping: keepingSink.KeepingSink;
    runner: runnerLink.RunnerLink;
  }): request.RequestResult {
    const { key, held, outcome, keeping, runner } = parameters;
    const { attempt } = held.claim;
    switch (outcome.kind) {
      case request.AttemptOutcomeKind.Complete: {
        const answer = keeping.kept;
        const state = claimStore.ClaimState.Settled;
        // The answer need not wait for this write: until it is done, a repeated
        // request collects the answer from the runner.
        this.parameters.lifeCycle.run("settle", async () => {
          const written = await this.write(key, held, { state, answer });
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
          await this.write(key, held, { state });
        });
        return brokenResult(keeping, outcome.reason);
      }
      case request.AttemptOutcomeKind.Unsettled:
        // The claim stays: when the runner is heard again, it can still tell.
        return brokenResult(keeping, outcome.reason);
      case request.AttemptOutcomeKind.Deadline:
        return brokenResult(keeping, "deadline passed");
      case request.AttemptOutcomeKind.Held:
        return brokenResult(keeping, "put in quarantine");
      case request.AttemptOutcomeKind.CallerGone:
      case request.AttemptOutcomeKind.NeverStarted:
        return { kind: request.ResultKind.CallerGone };
    }
  }

  /** Changes a held claim; false if it is held no more or the store is away. */
  async write(
    key: string,
    held: claimStore.HeldClaim,
    change: Pick<claimStore.Claim, "state" | "answer">,
  ): Promise<boolean> {
    const claim = { ...held.claim, ...change };
    const written = await this.parameters.claims.write({
      key,
      claim,
      base: held,
    });
    return written.kind === "held";
  }
}

/** What is told when it is not known whether a request ran. */
export function mayHaveRun(reason: string): request.RequestResult {
  return { kind: request.ResultKind.MayHaveRun, reason };
}

/** What is told of an answer that broke off. */
export function brokenResult(
  sink: answerSink.AnswerSink,
  reason: string,
): request.RequestResult {
  if (sink.delivered) return { kind: request.ResultKind.Incomplete, reason };
  return mayHaveRun(reason);
}
