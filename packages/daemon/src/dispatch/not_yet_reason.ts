import * as request from "./request.ts";

/**
 * Why a runner takes a request only later, if that is the cause of an attempt
 * that never started; `undefined` for all other causes. Such a request returns
 * to the queue or, if its body cannot be sent again, is refused for this reason.
 */
export function notYetReason(
  cause: request.NotStartedCause,
): request.NotRunReason | undefined {
  switch (cause) {
    case request.NotStartedCause.AtRateLimit:
      return request.NotRunReason.AtRateLimit;
    case request.NotStartedCause.Resting:
      return request.NotRunReason.Resting;
    case request.NotStartedCause.Failed:
    case request.NotStartedCause.Leaving:
    case request.NotStartedCause.Full:
      return undefined;
  }
}
