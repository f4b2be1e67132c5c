import * as crypto from "node:crypto";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as answerSink from "./answer_sink.ts";
import * as outcomeRecorder from "./outcome_recorder.ts";
import * as claimStore from "./claim_store.ts";
import * as claimTakeover from "./claim_takeover.ts";
import * as followAttempt from "./follow_attempt.ts";
import * as recordingSink from "./recording_sink.ts";
import type * as lostClaims from "./lost_claims.ts";
import * as request from "./request.ts";
import type * as runnerDirectory from "./runner_directory.ts";
import type * as runnerLink from "./runner_link.ts";
import type * as runnerObtainer from "./runner_obtainer.ts";

/**
 * Time for which a runner's room is kept while the claim is written. A store
 * that does not answer would else fill runners with requests that do not run,
 * and have others beside them wait.
 */
const MAX_RESERVATION_MILLISECONDS = 250;

/** What keyed requests need of the rest of the entry. */
export interface KeyedRequestsParameters {
  claims: claimStore.ClaimStore;
  runners: runnerDirectory.RunnerDirectory;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  history: common.HistoryRecorder;
  host: string;
  settleAfterMilliseconds: number;
  quarantine: quarantine.Quarantine;
  lostClaims: lostClaims.LostClaims;
}

/**
 * Requests that may not be repeated, under a key with which the caller may ask
 * again at any entry. At most one attempt at a time is named by the claim in
 * the table, and it is settled at its runner before another is named.
 */
export class KeyedRequests {
  /** Requests under way here by claim key; a second one waits for the first. */
  readonly #running = new Map<string, Promise<unknown>>();
  readonly #recorder: outcomeRecorder.OutcomeRecorder;
  readonly #takeover: claimTakeover.ClaimTakeover;

  constructor(readonly parameters: KeyedRequestsParameters) {
    this.#recorder = new outcomeRecorder.OutcomeRecorder(parameters);
    const recorder = this.#recorder;
    this.#takeover = new claimTakeover.ClaimTakeover({
      ...parameters,
      recorder,
    });
  }

  /** Runs a keyed request to its final result. */
  async run(
    obtainer: runnerObtainer.RunnerObtainer,
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
  ): Promise<request.RequestResult> {
    const key = claimStore.claimKey(
      accepted.account,
      accepted.idempotencyKey ?? "",
    );
    for (;;) {
      const other = this.#running.get(key);
      if (!other) break;
      const remaining = accepted.deadline - common.now();
      const finished = await common.withTimeout(
        other.then(() => true),
        remaining,
      );
      // Whether the other request has run by then is not known here.
      if (!finished) {
        const reason = "a request with this key is under way";
        return { kind: request.ResultKind.MayHaveRun, reason };
      }
    }
    const running = this.#runClaimed(obtainer, accepted, sink, key);
    const completion = running.then(
      () => undefined,
      () => undefined,
    );
    this.#running.set(key, completion);
    try {
      return await running;
    } finally {
      this.#running.delete(key);
    }
  }

  async #runClaimed(
    obtainer: runnerObtainer.RunnerObtainer,
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    key: string,
  ): Promise<request.RequestResult> {
    const digest = digestOf(accepted);
    const excluded = new Set<string>();
    let base: claimStore.StoredClaim | undefined;
    let failures = 0;
    for (let attempts = 1; ; attempts++) {
      const wasAdmitted = attempts > 1;
      const obtained = await obtainer.obtainRunner(
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
        return obtainer.notRun(request.NotRunReason.NoRunner);
      }
      const release = () => reservation.release();
      const reservationTimer = setTimeout(
        release,
        MAX_RESERVATION_MILLISECONDS,
      );
      const written = await this.parameters.claims.write({
        key,
        claim: this.#newClaim(digest, runner, attempt),
        base,
      });
      clearTimeout(reservationTimer);
      // Released here: nothing else runs before the dispatch counts instead.
      release();
      if (written.kind === "store-unavailable") {
        // Nothing was sent, and without the claim nothing may be.
        return obtainer.notRun(request.NotRunReason.StoreUnavailable);
      }
      if (written.kind === "exists") {
        const { stored } = written;
        const resolved = await this.#takeover.resolve(
          accepted,
          sink,
          key,
          digest,
          stored,
        );
        if (resolved.kind === "result") return resolved.result;
        base = resolved.base;
        continue;
      }
      const { lostClaims: lost } = this.parameters;
      // The claim stays: it names an attempt that was not sent.
      if (!(await lost.gather())) {
        return obtainer.notRun(request.NotRunReason.StoreUnavailable);
      }
      const earlier = lost.find(key);
      if (earlier && earlier.attempt.identifier !== attempt.identifier) {
        const resolved = await this.#restoreEarlier(earlier, accepted, sink, {
          key,
          digest,
          stored: written.stored,
        });
        if (resolved.kind === "result") return resolved.result;
        base = resolved.base;
        continue;
      }
      lost.remember(key, written.stored.claim);
      base = written.stored;
      const recording = new recordingSink.RecordingSink(sink);
      const claim = { key, digest };
      const sent = { ...accepted, identifier, limit, claim };
      const outgoing = runner.dispatch(attempt, sent);
      const { history, host, quarantine } = this.parameters;
      history.record({ kind: "dispatched", host, identifier });
      const followed = {
        runner,
        outgoing,
        accepted,
        sink: recording,
        quarantine,
      };
      const outcome = await followAttempt.followAttempt(followed);
      if (outcome.kind === request.AttemptOutcomeKind.NeverStarted) {
        if (outcome.cause === request.NotStartedCause.Full) continue;
        excluded.add(runner.host.name);
        if (obtainer.permitRetry(accepted, ++failures, outcome.cause)) continue;
        return obtainer.notRun(request.NotRunReason.EngineUnavailable);
      }
      return this.#recorder.recordOutcome({
        key,
        stored: base,
        outcome,
        recording,
        runner,
      });
    }
  }

  /** Puts a claim that the table had lost in place of a later one of this entry. */
  async #restoreEarlier(
    earlier: Omit<claimStore.Claim, "nonce">,
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    own: { key: string; digest: string; stored: claimStore.StoredClaim },
  ): Promise<claimTakeover.ClaimResolution> {
    const { key, digest, stored: base } = own;
    const { claims } = this.parameters;
    const written = await claims.write({ key, claim: earlier, base });
    if (written.kind === "store-unavailable") {
      const result = outcomeRecorder.mayHaveRun("its claim was lost");
      return { kind: "result", result: result };
    }
    const { stored } = written;
    return this.#takeover.resolve(accepted, sink, key, digest, stored);
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
