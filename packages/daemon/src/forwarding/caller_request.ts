import type * as common from "@geraniumkeel/common";

/** A header as sent, in order and spelling. */
export type Header = [name: string, value: string];

/** One request of a caller that is passed on as it is. */
export interface CallerRequest {
  /** The caller's own name for this request. */
  identifier: string;
  method: string;
  /** Path and query, as sent. */
  target: string;
  /** Path alone. */
  path: string;
  host: string;
  /** Headers that go on to the runner, unchanged. */
  headers: Header[];
  body: Buffer;
  /** Access key; `undefined` if none was sent. */
  key: string | undefined;
  /** How long the caller waits, counted from arrival; 0 if not said. */
  timeoutMilliseconds: number;
  /** Event after which a stream is to go on; empty for the beginning. */
  resumeAfter: string;
  arrivedAt: common.Instant;
}

/** Head of an answer, as it goes to the caller. */
export interface AnswerHead {
  status: number;
  headers: Header[];
}

/** Kinds of answer that this system gives itself. */
export enum RefusalKind {
  /** Nothing at this host and path. */
  NoRoute = "no-route",
  /** No account has this key. */
  UnknownKey = "unknown-key",
  /** It has not run and never will. */
  NotRun = "not-run",
  /** It may have run. */
  MayHaveRun = "may-have-run",
  /** Time ran out; it may have run. */
  TimedOut = "timed-out",
}

/** An answer that this system gives itself, with its reason. */
export interface Refusal {
  kind: RefusalKind;
  reason: string;
  /** When to come back, in milliseconds; for `NotRun`. */
  retryAfterMilliseconds: number;
}

/** The caller's side of one request. It is answered once. */
export interface AnswerSink {
  /** Aborts when the caller has left. */
  readonly disconnected: AbortSignal;
  /** Answers with a head and a whole body. */
  answer(head: AnswerHead, body: Buffer): void;
  /** Begins an answer of which pieces follow. */
  begin(head: AnswerHead): void;
  /** Passes on one piece; resolves when the caller can take more. */
  write(piece: Buffer): Promise<void>;
  /** Ends an answer as complete. */
  end(): void;
  /** Breaks off an answer so that it cannot look complete. */
  abort(): void;
  /** Answers in the system's own name. */
  refuse(refusal: Refusal): void;
}
