import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as runnerCaller from "../forwarding/runner_caller.ts";
import type * as brokenRun from "./broken_run.ts";
import * as endWatch from "./end_watch.ts";

/** Runs that one log line names at most. */
const MOST_RUNS_LOGGED = 16;

/** What keeping watch over runners' ends needs. */
export interface QuarantineParameters {
  presenceOf: (runner: traffic.RunnerEntry) => Promise<runnerCaller.Presence>;
  /** Whether the runner is listed and not leaving. */
  inUse: (runner: traffic.RunnerEntry) => boolean;
  logger: common.Logger;
}

/** Tells which requests were under way at runners that ended. */
export class Quarantine {
  readonly #ends: endWatch.EndWatch;

  constructor(readonly parameters: QuarantineParameters) {
    const { presenceOf, inUse } = parameters;
    this.#ends = new endWatch.EndWatch({
      presenceOf,
      inUse,
      onEnd: (end) => this.#logEnd(end),
    });
  }

  /** Takes a run that broke off; resolves once its runner was looked at. */
  brokenOff(run: brokenRun.BrokenRun): Promise<void> {
    return this.#ends.brokenOff(run);
  }

  /** Takes a new list of runners. */
  listed(list: traffic.RunnerList): void {
    this.#ends.listed(list);
  }

  #logEnd({ runner, endedAt, evidence, runs }: brokenRun.RunnerEnd): void {
    const { identifier, bornAt, service } = runner;
    this.parameters.logger.event(common.EventCode.RunnerEnded, {
      runner: identifier,
      bornAt,
      service,
      evidence,
      runs: runs.slice(0, MOST_RUNS_LOGGED).map((run) => ({
        request: run.request,
        fingerprint: run.fingerprint,
        milliseconds: Math.round(endedAt - run.startedAt),
      })),
      more: Math.max(0, runs.length - MOST_RUNS_LOGGED),
    });
  }
}
