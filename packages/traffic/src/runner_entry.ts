/** A runner as the platform lists it. */
export interface RunnerEntry {
  /** New at each start of the runner. */
  identifier: string;
  service: string;
  address: string;
  port: number;
  dataCentre: string;
  /** Requests that it works on at once. */
  slots: number;
  /** Finishes what it has and takes nothing new. */
  leaving: boolean;
}

/** All runners that the platform lists, as of one version of the list. */
export interface RunnerList {
  version: number;
  runners: RunnerEntry[];
}
