import type * as common from "@geraniumkeel/common";

/** A header with the order and spelling in which it was sent. */
export type Header = [name: string, value: string];

/** A caller's request, which is forwarded unchanged. */
export interface CallerRequest {
  /** Identifier that the caller gave to this request. */
  identifier: string;
  method: string;
  /** Path and query, as sent. */
  target: string;
  /** Path without the query. */
  path: string;
  host: string;
  /** Headers that go to the runner unchanged. */
  headers: Header[];
  body: Buffer;
  /** Access key; `undefined` if none was sent. */
  key: string | undefined;
  /**
   * How long the caller waits for its answer, counted from arrival; 0 if the
   * caller did not say.
   */
  timeoutMilliseconds: number;
  /**
   * Number of the event after which the caller wants a stream to continue;
   * empty to start from the beginning.
   */
  resumeAfter: string;
  /**
   * Identifiers of the parts of the prompt that other requests may share, each
   * once; empty if the caller names none.
   */
  promptParts: readonly string[];
  arrivedAt: common.Instant;
}

/** A caller's request without its body, which may not have come yet. */
export type RequestHead = Omit<CallerRequest, "body">;

/** Head of an answer, as the caller receives it. */
export interface AnswerHead {
  status: number;
  headers: Header[];
}

/** Why an entry answers a request itself in place of a runner. */
export enum RefusalKind {
  /** No route matches the host and path. */
  NoRoute = "no-route",
  /** No account has this access key. */
  UnknownKey = "unknown-key",
  /** The request has not run and never will. */
  NotRun = "not-run",
  /** Its body is longer than the configuration allows. */
  BodyTooLarge = "body-too-large",
  /** Its body did not come to its end in time, so it has not run. */
  BodyTooSlow = "body-too-slow",
  /** The request may have run. */
  MayHaveRun = "may-have-run",
  /** The request ran out of time and may have run. */
  TimedOut = "timed-out",
}

/** An answer that an entry gives itself, with its reason. */
export interface Refusal {
  kind: RefusalKind;
  reason: string;
  /** Delay in milliseconds after which the caller may retry; 0 for none. */
  retryAfterMilliseconds: number;
}

/**
 * Receives the answer to one request and sends it to the caller. Exactly one
 * answer is given.
 */
export interface AnswerSink {
  /** Aborts when the caller has disconnected. */
  readonly disconnected: AbortSignal;
  /**
   * Sends a complete answer. Resolves to whether all of it has left this
   * process, as do the other methods that end an answer.
   */
  answer(head: AnswerHead, body: Buffer): Promise<boolean>;
  /** Sends the head of an answer whose body follows in pieces. */
  begin(head: AnswerHead): void;
  /** Sends one piece of the body; resolves when the caller can receive more. */
  write(piece: Buffer): Promise<void>;
  /** Finishes an answer as complete. */
  end(): Promise<boolean>;
  /**
   * Breaks the connection off, so that a partial answer cannot look complete;
   * the reason is for people.
   */
  abort(reason: string): void;
  /** Sends a refusal by this entry. */
  refuse(refusal: Refusal): Promise<boolean>;
}
