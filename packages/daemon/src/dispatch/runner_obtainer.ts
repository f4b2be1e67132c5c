import type * as pendingDispatches from "./pending_dispatches.ts";
import type * as request from "./request.ts";
import type * as runnerLink from "./runner_link.ts";

/** A chosen runner with reserved capacity, which the receiver must release. */
export interface ReservedRunner {
  runner: runnerLink.RunnerLink;
  reservation: pendingDispatches.Reservation;
  /** Attempts that the runner may have at once, the new one included. */
  limit: number;
}

/** A runner for the request, or its final result if there is none. */
export type ObtainedRunner =
  | ({ kind: "runner" } & ReservedRunner)
  | { kind: "result"; result: request.RequestResult };

/**
 * The part of the dispatcher that keyed requests use: it finds runners and
 * decides on retries.
 */
export interface RunnerObtainer {
  /**
   * Waits for a runner. `wasAdmitted` says that the service's queue admitted
   * the request before, for an earlier attempt.
   */
  obtainRunner(
    accepted: request.AcceptedRequest,
    excluded: ReadonlySet<string>,
    wasAdmitted: boolean,
  ): Promise<ObtainedRunner>;
  /** Whether a runner, obtained before, may get nothing new meanwhile. */
  isEvacuated(runner: runnerLink.RunnerLink): boolean;
  notRun(
    reason: request.NotRunReason,
    waitMilliseconds?: number,
  ): request.RequestResult;
  permitRetry(
    accepted: request.AcceptedRequest,
    failures: number,
    cause: request.NotStartedCause,
  ): boolean;
}
