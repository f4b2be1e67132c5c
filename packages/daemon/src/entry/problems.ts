import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import * as request from "../dispatch/request.ts";
import * as problem from "../operator/problem.ts";

/** A refusal before anything ran. */
export function refusal(
  status: number,
  reason: string,
  title: string,
  more: { detail?: string; retryAfterSeconds?: number } = {},
): problem.Problem {
  const outcome = problem.Outcome.NotRun;
  return { status, reason, title, outcome, ...more };
}

const NOT_RUN_TITLES: Record<request.NotRunReason, string> = {
  [request.NotRunReason.NoRunner]: "No runner of the service is available",
  [request.NotRunReason.QueueFull]: "Too many requests are waiting",
  [request.NotRunReason.DeadlineTooNear]:
    "The request would not be answered before its deadline",
  [request.NotRunReason.RetryBudget]: "Too many retries are under way",
  [request.NotRunReason.StoreUnavailable]:
    "A request that may not be repeated needs the table service, which does not answer",
  [request.NotRunReason.EngineUnavailable]: "The runners tried did not take it",
  [request.NotRunReason.AtRateLimit]: "The runner's rate limit is used up",
  [request.NotRunReason.Resting]: "The runner takes nothing for a while",
  [request.NotRunReason.Quarantined]:
    "Runners ended while they ran this request; it is in quarantine",
};

/** What a caller is told of a result that is no answer. */
export function problemOfResult(
  result: Exclude<request.RequestResult, { kind: request.ResultKind.Complete }>,
): problem.Problem {
  const { Outcome } = problem;
  switch (result.kind) {
    case request.ResultKind.NotRun: {
      const { reason, retryAfterMilliseconds } = result;
      const retryAfterSeconds = retryAfterMilliseconds / 1_000;
      return refusal(503, reason, NOT_RUN_TITLES[reason], {
        retryAfterSeconds,
      });
    }
    case request.ResultKind.MayHaveRun:
      return {
        status: 504,
        title: "It is not known whether the request ran",
        outcome: Outcome.MayHaveRun,
        reason: "may-have-run",
        detail: result.reason,
      };
    case request.ResultKind.Incomplete:
    case request.ResultKind.CallerGone:
      return {
        status: 502,
        title: "The answer broke off",
        outcome: Outcome.MayHaveRun,
        reason: "incomplete",
      };
    case request.ResultKind.RanBefore:
      return {
        status: 409,
        title: "A request with this key ran before; its answer is not kept",
        outcome: Outcome.Ran,
        reason: "ran-before",
      };
    case request.ResultKind.KeyReused:
      return refusal(
        422,
        "idempotency-key-reused",
        "The key was used for another request; use a new key",
      );
  }
}

/** Sends a problem document. */
export function sendProblem(
  response: http.ServerResponse,
  told: problem.Problem,
): void {
  if (response.headersSent || response.destroyed) return;
  const headers: http.OutgoingHttpHeaders = {
    "content-type": problem.PROBLEM_MEDIA_TYPE,
  };
  if (told.retryAfterSeconds !== undefined) {
    const seconds = Math.max(1, Math.ceil(told.retryAfterSeconds));
    headers["retry-after"] = String(seconds);
  }
  // The rest of a body that is refused is not worth reading.
  if (!response.req.complete) response.shouldKeepAlive = false;
  response.writeHead(told.status, headers);
  response.end(problem.problemBody(told));
}

/** Explains invalid input, all problems at once. */
export function invalidInput(problems: common.InputProblem[]): problem.Problem {
  const detail = common.describeProblems(problems);
  return refusal(400, "invalid-request", "The request is not valid", {
    detail,
  });
}
