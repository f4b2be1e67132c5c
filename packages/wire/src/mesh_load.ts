import type * as messageKind from "./message_kind.ts";

/** Number of the least urgent urgency that is reported on its own. */
export const LEAST_REPORTED_URGENCY = 9;
/**
 * Services that one `MeshLoad` describes at most. With ten urgencies each, a
 * message then takes less than 6 KB, whatever the configuration contains.
 */
export const MAX_REPORTED_SERVICES = 16;

/** Load of one urgency of a service at the sender. */
export interface UrgencyLoad {
  urgency: number;
  /** Requests in progress. */
  running: number;
  /** Requests that wait for capacity. */
  waiting: number;
  /** Requests that arrived in the last seconds, per second. */
  arrivalsPerSecond: number;
}

/** Load of a service at the sender. */
export interface ServiceLoadReport {
  service: string;
  /** Mean duration of an answer, in milliseconds; -1 if none was measured. */
  answerMilliseconds: number;
  /**
   * Mean time to the first event at a runner with a free slot, in milliseconds;
   * -1 if none was measured.
   */
  firstEventMilliseconds: number;
  urgencies: UrgencyLoad[];
}

/**
 * What an entry tells the others about the services that routes of several
 * urgencies share. Each message replaces the one before.
 */
export interface MeshLoad {
  kind: messageKind.MessageKind.MeshLoad;
  services: ServiceLoadReport[];
}
