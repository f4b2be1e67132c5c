/** A violation of a promise, in words for people. */
export interface Violation {
  promise: string;
  detail: string;
}

/** What callers, stand-ins and processes recorded in one run. */
export interface History {
  calls: CallRecord[];
  /** Times each prompt or call was started by an engine or service. */
  starts: Map<string, number>;
  /** First use of a map by a rank: from this step on. */
  mapUses: MapUse[];
  /** Steps that were really taken, by all ranks together. */
  stepsTaken: number;
  /** Steps that the engines themselves saw run with two maps. */
  mixedSteps: number;
  /** Work started at a host, with the time. */
  workStarts: { host: string; at: number }[];
  /** Requests that end each engine that runs them. */
  endings: EndingRecord[];
  /** Calls that arrived at engines, with what the answers said. */
  arrivals: ArrivalRecord[];
  /** Hosts told to leave, with the time. */
  leavings: { host: string; at: number }[];
  /** Revisions put in force in a process. */
  inForce: { process: string; revision: number; at: number }[];
  /** Changes accepted for an operator. */
  accepted: { revision: number; at: number }[];
  /** Processes alive and reachable at the end, with their revision. */
  final: { process: string; revision: number }[];
}

/** What one request came to, as its caller saw it. */
export interface CallRecord {
  /** Unique in the run; the key of `starts`. */
  work: string;
  repeatable: boolean;
  /** Told by the system, or seen on the connection. */
  outcome: "whole" | "not-run" | "may-have-run" | "broken" | "wrong";
  detail: string;
  /** Whether only planned stops happened while it ran. */
  duringPlannedStopOnly: boolean;
}

/** A request that ends each engine that runs it, with the times of what it did. */
export interface EndingRecord {
  work: string;
  starts: number[];
  ends: number[];
}

/** A call that arrived at an engine, and what its answer said of the engine. */
export interface ArrivalRecord {
  host: string;
  at: number;
  /** Requests a second that it named; `undefined` for none. */
  perSecond: number | undefined;
  /** Milliseconds of rest that it asked for; `undefined` for none. */
  restMilliseconds: number | undefined;
}

/** A rank uses a map from a step on. */
export interface MapUse {
  rank: number;
  step: number;
  version: number;
}

/** An empty history, to be filled. */
export function emptyHistory(): History {
  return {
    calls: [],
    starts: new Map(),
    mapUses: [],
    stepsTaken: 0,
    mixedSteps: 0,
    workStarts: [],
    endings: [],
    arrivals: [],
    leavings: [],
    inForce: [],
    accepted: [],
    final: [],
  };
}
