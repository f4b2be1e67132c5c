import type * as messageKind from "./message_kind.ts";

/** Number of the least urgent urgency that is reported on its own. */
export const LEAST_REPORTED_URGENCY = 9;
/**
 * Services that one `MeshLoad` describes at most. With ten urgencies each, a
 * message then takes less than 14 KB, whatever the configuration contains.
 */
export const MAX_REPORTED_SERVICES = 16;

/**
 * Accounts of a service that one `MeshLoad` names at most, those that ask for
 * most. Shares of small accounts are met in full, so that they need not be known
 * everywhere.
 */
export const MAX_REPORTED_ACCOUNTS = 24;

/** What an account asks for at the sender, in one urgency. */
export interface AccountDemand {
  account: string;
  urgency: number;
  /** Requests that arrived in the last seconds, per second. */
  arrivalsPerSecond: number;
}

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
   * Estimated median time to the first event at a runner with a free slot, in
   * milliseconds; -1 if none was measured.
   */
  firstEventMilliseconds: number;
  /** Accounts that ask for most; empty while there is no shortage. */
  accounts: AccountDemand[];
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
