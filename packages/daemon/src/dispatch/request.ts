import type * as wire from "@geraniumkeel/wire";
import type * as bodySender from "./body_sender.ts";
import type * as runnerLink from "./runner_link.ts";
import type * as stoppableRequest from "./stoppable_request.ts";

/** A request accepted from a caller. */
export interface AcceptedRequest {
  identifier: string;
  account: string;
  weight: number;
  service: string;
  work: wire.Work;
  repeatable: boolean;
  /** Key under which the caller may repeat a non-repeatable request. */
  idempotencyKey: string | undefined;
  /** Deadline by this process's clock. */
  deadline: number;
  /** Aborts when the caller is gone. */
  signal: AbortSignal;
  urgency: number;
  promptTokens: number;
  expectedTokens: number;
  prefixBlocks: string[];
  runnerConcurrency: number;
  /** Pieces that may be under way to the caller. */
  window: number;
  /** Rest of a large body; it can be sent only once. */
  body?: bodySender.BodySender;
  watched: stoppableRequest.StoppableRequest;
}

/** How a request ended, as far as the caller must be told. */
export enum ResultKind {
  Complete = "complete",
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
  /** The answer broke off. */
  Incomplete = "incomplete",
  CallerGone = "caller-gone",
  /** An earlier request under the same key ran; its answer is not kept. */
  RanBefore = "ran-before",
  /** The key was used before for another request. */
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
  /** Runners ended while they ran it. */
  Quarantined = "quarantined",
}

/** How a request ended. */
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

/** How one attempt ended. */
export enum AttemptOutcomeKind {
  Complete = "complete",
  /** It never started and never will. */
  NeverStarted = "never-started",
  /** It started and broke off. */
  Broken = "broken",
  /** Nobody can tell whether it ran. */
  Unsettled = "unsettled",
  Deadline = "deadline",
  CallerGone = "caller-gone",
  /** It was put in quarantine while it was under way. */
  Quarantined = "held",
}

/** How one attempt ended. */
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
      /** Life of the runner that ended with it; empty if none did. */
      endedLife: string;
    }
  | { kind: AttemptOutcomeKind.Deadline }
  | { kind: AttemptOutcomeKind.CallerGone }
  | { kind: AttemptOutcomeKind.Quarantined };

/** Why an attempt never started. */
export enum NotStartedCause {
  /** Its runner or engine failed: another try is a retry and is paid for. */
  Failed = "failed",
  /** Its runner is leaving, as planned: another try is free. */
  Leaving = "leaving",
  /** Its runner has as much as it may: the request goes on waiting. */
  Full = "full",
}

/** An attempt with the runner it was made at. */
export interface MadeAttempt {
  runner: runnerLink.RunnerLink;
  attempt: wire.Attempt;
}
