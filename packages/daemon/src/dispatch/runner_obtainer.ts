import type * as pendingDispatches from "./pending_dispatches.ts";
import type * as request from "./request.ts";
import type * as runnerLink from "./runner_link.ts";

/** A runner with room taken; the reservation is to be released. */
export interface ReservedRunner {
  runner: runnerLink.RunnerLink;
  reservation: pendingDispatches.Reservation;
  /** Attempts that the runner may have at once, this one included. */
  limit: number;
}

/** Either a runner, or the end of the request. */
export type ObtainedRunner =
  | ({ kind: "runner" } & ReservedRunner)
  | { kind: "result"; result: request.RequestResult };

/** Finds runners for requests, as the conduct of keyed requests needs it. */
export interface RunnerObtainer {
  obtainRunner(
    accepted: request.AcceptedRequest,
    excluded: ReadonlySet<string>,
    wasAdmitted: boolean,
  ): Promise<ObtainedRunner>;
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
