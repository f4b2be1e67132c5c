import type * as wire from "@geraniumkeel/wire";
import type * as bodySender from "./body_sender.ts";
import type * as runnerLink from "./runner_link.ts";
import type * as quarantineHandle from "./quarantine_handle.ts";

/** A request accepted from a caller. */
export interface AcceptedRequest {
  identifier: string;
  account: string;
  /** Weight of the account in the service's queue. */
  weight: number;
  service: string;
  work: wire.Work;
  /** Whether entries may run the request more than once. */
  repeatable: boolean;
  /**
   * Key with which the caller may send a non-repeatable request again;
   * `undefined` without one.
   */
  idempotencyKey: string | undefined;
  /** Deadline by this process's monotonic clock, in milliseconds. */
  deadline: number;
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
  /** Urgency by RFC 9218: 0 is most urgent, 7 least. */
  urgency: number;
  promptTokens: number;
  expectedTokens: number;
  /**
   * Chained hashes of the prompt's prefix blocks, for routing by cached prefix.
   */
  prefixBlocks: string[];
  /** Attempts that one runner of the service may have at once. */
  runnerConcurrency: number;
  /**
   * Pieces of the answer that the runner may send ahead of acknowledgements.
   */
  window: number;
  /** Rest of a large body; it can be sent to one attempt only. */
  body?: bodySender.BodySender;
  /** Handle with which the quarantine identifies and stops the request. */
  quarantineHandle: quarantineHandle.QuarantineHandle;
}

/** Kinds of results of a request, as the caller must distinguish them. */
export enum ResultKind {
  Complete = "complete",
  NotRun = "not-run",
  /** The request may have run; the caller has received nothing of an answer. */
  MayHaveRun = "may-have-run",
  /** The answer broke off after the caller had received part of it. */
  Incomplete = "incomplete",
  /** The caller disconnected. */
  CallerGone = "caller-gone",
  /** An earlier request with the same key ran; its answer is not stored. */
  RanBefore = "ran-before",
  /** The key was used before for a different request. */
  KeyReused = "key-reused",
}

/** Why a request was not run. */
export enum NotRunReason {
  NoRunner = "no-runner",
  QueueFull = "queue-full",
  DeadlineTooNear = "deadline-too-near",
  RetryBudget = "retry-budget",
  StoreUnavailable = "store-unavailable",
  EngineUnavailable = "engine-unavailable",
  /** Runners crashed while they ran the request. */
  Quarantined = "quarantined",
  /** The runner's request rate limit is used up. */
  AtRateLimit = "at-rate-limit",
  /** The runner wants nothing for a while. */
  Resting = "resting",
}

/** Final result of a request. */
export type RequestResult =
  | {
      kind: ResultKind.Complete;
      finishReason: wire.FinishReason;
      promptTokens: number;
      runner: string;
    }
  | {
      kind: ResultKind.NotRun;
      reason: NotRunReason;
      retryAfterMilliseconds: number;
    }
  | { kind: ResultKind.MayHaveRun; reason: string }
  | { kind: ResultKind.Incomplete; reason: string }
  | { kind: ResultKind.CallerGone }
  | { kind: ResultKind.RanBefore }
  | { kind: ResultKind.KeyReused };

/** Kinds of outcomes of an attempt. */
export enum AttemptOutcomeKind {
  Complete = "complete",
  /** The attempt never started and never will. */
  NeverStarted = "never-started",
  /**
   * The attempt's answer broke off, or the attempt was cancelled. The attempt
   * may have run.
   */
  Broken = "broken",
  /**
   * The entry gave the attempt up without knowing whether it ran. It may still
   * be running, and its runner may still report the outcome.
   */
  Unsettled = "unsettled",
  /** The request's deadline passed while the attempt ran. */
  Deadline = "deadline",
  /** The caller disconnected while the attempt ran. */
  CallerGone = "caller-gone",
  /** The request was put in quarantine while the attempt ran. */
  Quarantined = "held",
}

/** Outcome of an attempt. */
export type AttemptOutcome =
  | {
      kind: AttemptOutcomeKind.Complete;
      finishReason: wire.FinishReason;
      promptTokens: number;
    }
  | { kind: AttemptOutcomeKind.NeverStarted; cause: NotStartedCause }
  | {
      kind: AttemptOutcomeKind.Broken | AttemptOutcomeKind.Unsettled;
      reason: string;
      /**
       * Incarnation that crashed during the attempt: of the engine or service
       * if the upstream process reported the crash, of the upstream process if
       * that was replaced. Empty if neither is known to have crashed.
       */
      endedLife: string;
    }
  | { kind: AttemptOutcomeKind.Deadline }
  | { kind: AttemptOutcomeKind.CallerGone }
  | { kind: AttemptOutcomeKind.Quarantined };

/** Why an attempt never started. "Charged" means to the retry budget. */
export enum NotStartedCause {
  /** Its runner or engine failed. Another attempt is charged as a retry. */
  Failed = "failed",
  /** Its runner is leaving, as planned. Another attempt is not charged. */
  Leaving = "leaving",
  /**
   * Its runner has as many attempts as it may have. The request returns to the
   * queue.
   */
  Full = "full",
  /**
   * Its runner's request rate limit is used up. The request returns to the
   * queue, unless its body cannot be sent again.
   */
  AtRateLimit = "at-rate-limit",
  /** Its runner wants rest. The same holds as at a rate limit. */
  Resting = "resting",
}

/** An attempt with the runner that it was sent to. */
export interface MadeAttempt {
  runner: runnerLink.RunnerLink;
  attempt: wire.Attempt;
}
