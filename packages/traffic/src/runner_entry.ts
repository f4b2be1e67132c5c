/** A runner as the platform lists it. */
export interface RunnerEntry {
  /** Mostly new at each start of the runner; it may have had it before. */
  identifier: string;
  /**
   * Unix millisecond of the runner's start, 0 if it does not tell. A runner that
   * starts anew under its old identifier knows nothing of before.
   */
  bornAt: number;
  service: string;
  /** Version of its software; empty if it does not tell. */
  version: string;
  address: string;
  port: number;
  dataCentre: string;
  /** Requests that it works on at once. */
  slots: number;
  /** Finishes what it has and takes nothing new. */
  leaving: boolean;
  /** It has started, or turned cold again, and takes few requests a second. */
  warmingUp: boolean;
}

/** All runners that the platform lists, as of one version of the list. */
export interface RunnerList {
  version: number;
  runners: RunnerEntry[];
}

/** Name of one life of a runner at one address. */
export function incarnationOf(runner: RunnerEntry): string {
  const { identifier, bornAt, address, port } = runner;
  return `${identifier} ${bornAt} ${address}:${port}`;
}

/** Where a runner of a service is; two lives of one follow each other there. */
export function placeOf(runner: RunnerEntry): string {
  const { service, address, port } = runner;
  return `${service} ${address}:${port}`;
}
