import type * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";
import type * as traffic from "@geraniumkeel/traffic";
import type * as rateLimitPermit from "../rate_limit/rate_limit_permit.ts";
import type * as callerRequest from "./caller_request.ts";

/** One call to a runner: the caller's request, and what it is sent with. */
export interface RunnerCall {
  request: callerRequest.CallerRequest;
  runner: traffic.RunnerEntry;
  /**
   * Permission to send this request. Only the rate limits give one, so that no
   * request goes to a runner past them.
   */
  permit: rateLimitPermit.RateLimitPermit;
  /** Time left for the request; sent to the runner. */
  millisecondsLeft: number;
  /** Account of the caller; empty if the request needed no key. */
  account: string;
  /** Urgency that is sent to the runner; a higher number is less urgent. */
  urgency: number;
  /**
   * Number of the event after which a stream continues; empty to start from the
   * beginning.
   */
  resumeAfter: string;
  /** Longest body of the answer, chunks counted with an overhead. */
  maxBodyBytes: number;
  /** Aborts the call; the runner then drops the request. */
  signal: AbortSignal;
}

/** What a runner's answer says about the request. */
export enum Verdict {
  /**
   * The runner ran the request successfully, or is running it. Trusted only if
   * the answer is signed.
   */
  Ran = "ran",
  /** The runner ran the request, and it failed. */
  Failed = "failed",
  /**
   * The runner certainly did not run the request: it had no room or is leaving.
   */
  NotRun = "not-run",
  /** Another runner now has the address; the request was not run. */
  WrongRunner = "wrong-runner",
  /**
   * The request was not run, as the version of the runner's weights is not the one that
   * the caller wants, or as another runner has the address. The answer does not tell
   * these apart, so nothing follows for the runner.
   */
  Unsuitable = "unsuitable",
}

/** Head of a runner's answer, with the body still to be read. */
export interface RunnerAnswer {
  verdict: Verdict;
  head: callerRequest.AnswerHead;
  /**
   * Whether the answer carries a signature, the proof that it comes from the
   * runner. An answer with the verdict `Ran` counts as a success, and is
   * relayed, only if it does; otherwise the request may have run, and the
   * attempt's outcome is unknown.
   */
  signed: boolean;
  /**
   * Value of the header in which the runner names its request rate limit;
   * `undefined` without one.
   */
  rateLimit: string | undefined;
  /** Whether the answer says that its runner is leaving. */
  leaving: boolean;
  /** Value of the `Retry-After` header; `undefined` without one. */
  retryAfter: string | undefined;
  /**
   * Whether nothing but the end of the connection tells where the body ends. A
   * runner that crashes may end it in the same way as one that is done.
   */
  endsWithConnection: boolean;
  /**
   * The body as it arrives. Throws a `common.TruncatedBody` if the connection
   * ends before the body does, or if the body is wrong.
   */
  body: AsyncIterable<Buffer>;
  /** Closes the connection; what was not read of the body is lost. */
  close: () => void;
}

/** How a call failed, by whether the request may have run nevertheless. */
export enum CallFailureKind {
  /**
   * The request can't be written as HTTP, so nothing was sent. That says nothing
   * about the runner.
   */
  Unwritable = "unwritable",
  /** No connection was made, so nothing was sent. */
  NotSent = "not-sent",
  /**
   * A connection was made, but then the call failed or was aborted, or the
   * answer was one to another request. The request may have run.
   */
  Unknown = "unknown",
}

/** A failed call: no head of an answer to the request arrived. */
export interface CallFailure {
  kind: CallFailureKind;
  reason: string;
}

/** This entry's client of runners: sends callers' requests to them. */
export interface RunnerClient {
  call(call: RunnerCall): Promise<neverthrow.Result<RunnerAnswer, CallFailure>>;
  /**
   * Checks whether anything accepts connections at a runner's address, without
   * sending a request.
   */
  presenceOf(runner: traffic.RunnerEntry): Promise<common.Presence>;
}
