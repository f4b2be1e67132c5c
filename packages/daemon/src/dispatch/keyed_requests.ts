import * as crypto from "node:crypto";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as answerSink from "./answer_sink.ts";
import * as outcomeRecorder from "./outcome_recorder.ts";
import * as claimStore from "./claim_store.ts";
import * as claimResolver from "./claim_resolver.ts";
import * as followAttempt from "./follow_attempt.ts";
import * as recordingSink from "./recording_sink.ts";
import type * as lostClaims from "./lost_claims.ts";
import * as notYetReason from "./not_yet_reason.ts";
import * as request from "./request.ts";
import type * as runnerDirectory from "./runner_directory.ts";
import type * as runnerLink from "./runner_link.ts";
import type * as runnerObtainer from "./runner_obtainer.ts";

/**
 * Longest time for which a request reserves capacity at a runner while its
 * claim is written. Without this limit, a table service that does not answer
 * would fill runners with requests that do not run, and other requests would
 * wait.
 */
const MAX_RESERVATION_MILLISECONDS = 250;
const UNREADABLE_CLAIM = "its claim can't be read";

/** The parts of an entry that keyed requests use. */
export interface KeyedRequestsParameters {
  claims: claimStore.ClaimStore;
  runners: runnerDirectory.RunnerDirectory;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  history: common.HistoryRecorder;
  /** Host of this entry. */
  host: string;
  /** Longest wait for a runner's answer to `RunnerLink.settle`. */
  settleTimeoutMilliseconds: number;
  quarantine: quarantine.Quarantine;
  lostClaims: lostClaims.LostClaims;
}

/**
 * Runs non-repeatable requests that have an idempotency key. Such a request
 * runs at most once, although the caller may send it again with the same key,
 * at any entry. The key's claim in the table names at most one attempt at a
 * time. Before an entry writes a claim that names another attempt, it settles
 * the named attempt at that attempt's runner: the new attempt may follow only
 * if the named one never started and never will.
 */
export class KeyedRequests {
  /**
   * Requests that run at this entry, by claim key. A second request with the
   * same key waits until the first has its result.
   */
  readonly #running = new Map<string, Promise<unknown>>();
  readonly #recorder: outcomeRecorder.OutcomeRecorder;
  readonly #resolver: claimResolver.ClaimResolver;

  constructor(readonly parameters: KeyedRequestsParameters) {
    this.#recorder = new outcomeRecorder.OutcomeRecorder(parameters);
    const recorder = this.#recorder;
    this.#resolver = new claimResolver.ClaimResolver({
      ...parameters,
      recorder,
    });
  }

  /** Runs a keyed request and returns its final result. */
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
      // The other request is not finished by this one's deadline and may have
      // run.
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
      // The queue admitted the request for its first attempt.
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
      // The dispatch below counts towards the runner's load itself. Other code
      // may run before it, because gathering lost claims is asynchronous.
      release();
      if (written.kind === "store-unavailable") {
        // No attempt was sent, and none may be sent without a claim.
        return obtainer.notRun(request.NotRunReason.StoreUnavailable);
      }
      if (written.kind === "unreadable") {
        return outcomeRecorder.mayHaveRun(UNREADABLE_CLAIM);
      }
      if (written.kind === "exists") {
        const { stored } = written;
        const resolved = await this.#resolver.resolve(
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
      // Until the lost claims are gathered, no attempt is sent. The claim that
      // was just written may stay: a later request with this key learns from
      // the runner that the attempt never started.
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
      // Writing the claim may have taken seconds. The attempt that the claim names
      // was not sent and never will be, as after a refusal by a full runner.
      if (obtainer.isEvacuated(runner)) continue;
      const recording = new recordingSink.RecordingSink(sink);
      // What the runner is sent of the claim.
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
        const notYet = notYetReason.notYetReason(outcome.cause);
        if (notYet && !accepted.body) continue;
        if (notYet) return obtainer.notRun(notYet);
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

  /**
   * Replaces the claim that this entry has just written (`own`) by an earlier
   * claim for the same key, which the table had lost, and resolves the earlier
   * one. If another entry has changed the row in the meantime, resolves the
   * claim that is in the row instead.
   */
  async #restoreEarlier(
    earlier: Omit<claimStore.Claim, "nonce">,
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
    own: { key: string; digest: string; stored: claimStore.StoredClaim },
  ): Promise<claimResolver.ClaimResolution> {
    const { key, digest, stored: base } = own;
    const { claims } = this.parameters;
    const written = await claims.write({ key, claim: earlier, base });
    if (written.kind === "store-unavailable") {
      // The table service did not confirm that it has the earlier claim again.
      const result = outcomeRecorder.mayHaveRun("its claim was lost");
      return { kind: "result", result };
    }
    if (written.kind === "unreadable") {
      const result = outcomeRecorder.mayHaveRun(UNREADABLE_CLAIM);
      return { kind: "result", result };
    }
    const { stored } = written;
    return this.#resolver.resolve(accepted, sink, key, digest, stored);
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

/** Digest of the service and the work that the caller asked for. */
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
