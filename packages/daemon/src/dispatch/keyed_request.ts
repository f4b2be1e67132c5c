import * as crypto from "node:crypto";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as answerSink from "./answer_sink.ts";
import * as claimStore from "./claim_store.ts";
import * as conductAttempt from "./conduct_attempt.ts";
import type * as dispatcher from "./dispatcher.ts";
import * as keepingSink from "./keeping_sink.ts";
import * as request from "./request.ts";
import type * as runnerDirectory from "./runner_directory.ts";
import type * as runnerLink from "./runner_link.ts";

/**
 * Time for which a runner's room is kept while the claim is written. A store
 * that does not answer would else fill runners with requests that do not run,
 * and have others beside them wait.
 */
const LONGEST_RESERVATION_MILLISECONDS = 250;

/** What keyed requests need of the rest of the entry. */
export interface KeyedRequestsParameters {
  claims: claimStore.ClaimStore;
  runners: runnerDirectory.RunnerDirectory;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  history: common.HistoryRecorder;
  host: string;
  settleAfterMilliseconds: number;
}

/** What an existing claim leaves to do. */
type Resolution =
  | { kind: "result"; result: request.RequestResult }
  /** The claimed attempt never ran and never will: the claim is ours to use. */
  | { kind: "take-over"; base: claimStore.HeldClaim };

/**
 * Requests that may not be repeated, under a key with which the caller may ask
 * again at any entry. At most one attempt at a time is named by the claim in
 * the table, and it is settled at its runner before another is named.
 */
export class KeyedRequests {
  /** Requests under way here by claim key; a second one waits for the first. */
  readonly #underWay = new Map<string, Promise<unknown>>();

  constructor(readonly parameters: KeyedRequestsParameters) {}

  /** Runs a keyed request to its final result. */
  async run(
    owner: dispatcher.Dispatcher,
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
  ): Promise<request.RequestResult> {
    const key = claimStore.claimKey(
      accepted.account,
      accepted.idempotencyKey ?? "",
    );
    for (;;) {
      const other = this.#underWay.get(key);
      if (!other) break;
      const remaining = accepted.deadline - common.now();
      const ended = await common.withTimeout(
        other.then(() => true),
        remaining,
      );
      // Whether the other request has run by then is not known here.
      if (!ended) {
        const reason = "a request with this key is under way";
        return { kind: request.ResultKind.MayHaveRun, reason };
      }
    }
    const running = this.#runClaimed(owner, accepted, sink, key);
    const over = running.then(
      () => undefined,
      () => undefined,
    );
    this.#underWay.set(key, over);
    try {
      return await running;
    } finally {
      this.#underWay.delete(key);
    }
  }

  async #runClaimed(
    owner: dispatcher.Dispatcher,
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    key: string,
  ): Promise<request.RequestResult> {
    const digest = digestOf(accepted);
    const excluded = new Set<string>();
    let base: claimStore.HeldClaim | undefined;
    let failures = 0;
    for (let attempts = 1; ; attempts++) {
      const wasAdmitted = attempts > 1;
      const obtained = await owner.obtainRunner(
        accepted,
        excluded,
        wasAdmitted,
      );
      if (obtained.kind === "result") return obtained.result;
      const { runner, reservation, limit } = obtained;
      const identifier = `${accepted.identifier}/${attempts}`;
      const attempt = runner.newAttempt(identifier);
      if (!attempt) {
        reservation.release();
        return owner.notRun(request.NotRunReason.NoRunner);
      }
      const release = () => reservation.release();
      const held = setTimeout(release, LONGEST_RESERVATION_MILLISECONDS);
      const written = await this.parameters.claims.write({
        key,
        claim: this.#newClaim(digest, runner, attempt),
        base,
      });
      clearTimeout(held);
      // Released here: nothing else runs before the dispatch counts instead.
      release();
      if (written.kind === "store-unavailable") {
        // Nothing was sent, and without the claim nothing may be.
        return owner.notRun(request.NotRunReason.StoreUnavailable);
      }
      if (written.kind === "other") {
        const { held } = written;
        const resolved = await this.#resolve(accepted, sink, key, digest, held);
        if (resolved.kind === "result") return resolved.result;
        base = resolved.base;
        continue;
      }
      base = written.held;
      const keeping = new keepingSink.KeepingSink(sink);
      const sent = { ...accepted, identifier, limit };
      const outgoing = runner.dispatch(attempt, sent);
      const { history, host } = this.parameters;
      history.record({ kind: "dispatched", host, identifier });
      const conducted = { runner, outgoing, accepted, sink: keeping };
      const outcome = await conductAttempt.conductAttempt(conducted);
      if (outcome.kind === request.AttemptOutcomeKind.NeverStarted) {
        if (outcome.cause === request.NotStartedCause.Full) continue;
        excluded.add(runner.host.name);
        if (owner.mayRetry(accepted, ++failures, outcome.cause)) continue;
        return owner.notRun(request.NotRunReason.EngineUnavailable);
      }
      return this.#conclude({ key, held: base, outcome, keeping, runner });
    }
  }

  /** Finds out what became of the attempt that an existing claim names. */
  async #resolve(
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
        return result(mayHaveRun("its outcome was lost"));
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
      return result(mayHaveRun("its runner cannot be asked now"));
    }
    if (runner.hello.incarnation !== attempt.agentIncarnation) {
      await this.#write(key, held, { state: claimStore.ClaimState.Unsettled });
      return result(mayHaveRun("its runner was replaced"));
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
        const conducted = { runner, outgoing, accepted, sink: keeping };
        const outcome = await conductAttempt.conductAttempt(conducted);
        if (outcome.kind === request.AttemptOutcomeKind.NeverStarted) {
          return { kind: "take-over", base: held };
        }
        return result(this.#conclude({ key, held, outcome, keeping, runner }));
      }
      case wire.AttemptState.Forgotten:
        await this.#write(key, held, {
          state: claimStore.ClaimState.Unsettled,
        });
        return result(mayHaveRun("its outcome was forgotten"));
      case undefined:
        return result(mayHaveRun("its runner did not answer"));
    }
  }

  /** Writes how a claimed attempt ended, and says it to the caller at once. */
  #conclude(parameters: {
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
          const written = await this.#write(key, held, { state, answer });
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
          await this.#write(key, held, { state });
        });
        return broken(keeping, outcome.reason);
      }
      case request.AttemptOutcomeKind.Unsettled:
        // The claim stays: when the runner is heard again, it can still tell.
        return broken(keeping, outcome.reason);
      case request.AttemptOutcomeKind.Deadline:
        return broken(keeping, "deadline passed");
      case request.AttemptOutcomeKind.CallerGone:
      case request.AttemptOutcomeKind.NeverStarted:
        return { kind: request.ResultKind.CallerGone };
    }
  }

  async #write(
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

  #newClaim(
    digest: string,
    runner: runnerLink.RunnerLink,
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

/** Digest of what the caller asked for. */
function digestOf(accepted: request.AcceptedRequest): string {
  const hash = crypto.createHash("sha256").update(accepted.service);
  const { work } = accepted;
  switch (work.kind) {
    case wire.WorkKind.Call:
      hash.update(`${work.method} ${work.path}\n`).update(work.body);
      break;
    case wire.WorkKind.Generate:
      hash.update(`${work.maximumTokens}\n${work.prompt}`);
      break;
  }
  return hash.digest("hex");
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

function mayHaveRun(reason: string): request.RequestResult {
  return { kind: request.ResultKind.MayHaveRun, reason };
}

function broken(
  sink: answerSink.AnswerSink,
  reason: string,
): request.RequestResult {
  if (sink.delivered) return { kind: request.ResultKind.Incomplete, reason };
  return mayHaveRun(reason);
}
