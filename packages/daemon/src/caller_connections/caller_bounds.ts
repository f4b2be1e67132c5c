/** What a host gives a process. */
export interface HostLimits {
  memoryMegabytes: number;
  /** File descriptors, sockets among them. */
  descriptors: number;
}

/** Bounds on what all callers together make a process hold. */
export interface CallerBounds {
  /** Connections to the listener for callers' requests. */
  connections: number;
  /** Connections to each other listener. */
  otherConnections: number;
  /** Bytes of the heads of requests that are not answered. */
  headBytes: number;
  /** Bytes of the bodies of requests that are not answered. */
  bodyBytes: number;
  /** Bytes of answers that are not complete. */
  answerBytes: number;
  /** Bytes of complete answers on their way to their callers. */
  deliveryBytes: number;
}

/** The smallest host for which this program is meant. */
export const DEFAULT_HOST_LIMITS: HostLimits = {
  memoryMegabytes: 250,
  descriptors: 4_100,
};

const MEBIBYTE = 1024 * 1024;
/** What a process takes without callers, and what waits for garbage collection. */
const OWN_MEGABYTES = 150;
const MIN_CALLER_MEGABYTES = 40;
/** More is of no use: a part of it is on the heap, which has a limit of its own. */
const MAX_CALLER_MEGABYTES = 240;
/** Parts of the memory for callers; together all of it. */
const CONNECTIONS_SHARE = 0.17;
const HEADS_SHARE = 0.07;
const BODIES_SHARE = 0.16;
const ANSWERS_SHARE = 0.26;
const DELIVERIES_SHARE = 0.34;
/** A connection with a head of many short lines that is not complete. */
const CONNECTION_BYTES = 32 * 1024;
/**
 * Parts of the descriptors. As many as for callers are left for connections to
 * runners, the rest for the store, other processes and files.
 */
const CALLERS_DESCRIPTORS_SHARE = 0.3;
const OTHER_DESCRIPTORS_SHARE = 0.05;
/** Enough for all who ask a listener beside the one for requests at once. */
const MAX_OTHER_CONNECTIONS = 200;

/** Works out the bounds from what the host gives the process. */
export function callerBounds(limits: HostLimits): CallerBounds {
  const { memoryMegabytes, descriptors } = limits;
  const spare = memoryMegabytes - OWN_MEGABYTES;
  const megabytes = Math.max(MIN_CALLER_MEGABYTES, spare);
  const bytes = Math.min(MAX_CALLER_MEGABYTES, megabytes) * MEBIBYTE;
  return {
    connections: Math.min(
      Math.floor((bytes * CONNECTIONS_SHARE) / CONNECTION_BYTES),
      Math.floor(descriptors * CALLERS_DESCRIPTORS_SHARE),
    ),
    otherConnections: Math.min(
      MAX_OTHER_CONNECTIONS,
      Math.floor(descriptors * OTHER_DESCRIPTORS_SHARE),
    ),
    headBytes: bytes * HEADS_SHARE,
    bodyBytes: bytes * BODIES_SHARE,
    answerBytes: bytes * ANSWERS_SHARE,
    deliveryBytes: bytes * DELIVERIES_SHARE,
  };
}
