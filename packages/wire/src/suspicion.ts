import type * as messageKind from "./message_kind.ts";

/** A request that was under way when a runner ended. */
export interface ReportedSuspicion {
  fingerprint: string;
  /** Milliseconds since it was sent there, at the time of telling. */
  startedAge: number;
  /** A whole answer or an operator spoke for it since. */
  cleared: boolean;
}

/** A runner's end as entries tell it each other; merging it twice changes nothing. */
export interface ReportedCrash {
  /** Names one life of the runner. */
  life: string;
  runner: string;
  service: string;
  /** Version of its software; empty if it is not known. */
  version: string;
  /** Milliseconds since it ended, at the time of telling. */
  age: number;
  /** Entries that saw it. */
  seenBy: string[];
  /** The runner was heard again: it had not ended. */
  disproved: boolean;
  suspicions: ReportedSuspicion[];
}

/** What an entry tells others of requests that may end their runners. */
export interface Suspicions {
  kind: messageKind.MessageKind.Suspicions;
  ends: ReportedCrash[];
  /** Fingerprints of requests that the sender holds. */
  held: string[];
}
