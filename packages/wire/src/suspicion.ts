import type * as messageKind from "./message_kind.ts";

/** What is told of a prompt part at a runner's end. */
export interface PartSighting {
  /**
   * Short names of requests with the part of whose answers nothing had come but
   * perhaps the head.
   */
  requests: string[];
  /** Those of them of whose answers the head had come. */
  begun: string[];
  /** How many of the last requests that the teller took carried the part. */
  frequency: { count: number; of: number };
}

/** A request, or a part of prompts, that was under way when a runner ended. */
export interface ReportedSuspicion {
  /** A request's fingerprint, or the key of a part. */
  fingerprint: string;
  /** Milliseconds since it was sent there, at the time of telling. */
  startedAge: number;
  /** A whole answer or an operator spoke for it since. */
  cleared: boolean;
  /** Set for a part. */
  part?: PartSighting;
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
  /** Requests and parts that the sender holds. */
  held: string[];
}
