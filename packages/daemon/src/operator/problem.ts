/** What is known of a refused or failed request; tells whether to repeat it. */
export enum Outcome {
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
  Ran = "ran",
}

/** A problem document (RFC 9457) with the outcome of the request. */
export interface Problem {
  status: number;
  title: string;
  outcome: Outcome;
  reason: string;
  detail?: string;
  retryAfterSeconds?: number;
}

/** Media type of problem documents. */
export const PROBLEM_MEDIA_TYPE = "application/problem+json";

/**
 * Body of a problem document. `error` repeats it in the shape that OpenAI
 * clients read.
 */
export function problemBody(problem: Problem): string {
  const { status, title, outcome, reason, detail } = problem;
  const type = `https://geraniumkeel.example/problems/${reason}`;
  const error = { message: detail ?? title, type: reason, code: outcome };
  return JSON.stringify({
    type,
    status,
    title,
    outcome,
    reason,
    detail,
    error,
  });
}

/** A problem document as a response. */
export function problemResponse(problem: Problem): Response {
  const headers: Record<string, string> = {
    "content-type": PROBLEM_MEDIA_TYPE,
  };
  if (problem.retryAfterSeconds !== undefined) {
    headers["retry-after"] = String(Math.ceil(problem.retryAfterSeconds));
  }
  const { status } = problem;
  return new Response(problemBody(problem), { status, headers });
}

/** What an operator is told who lifts a quarantine that is not there. */
export function notInQuarantine(fingerprint: string): Problem {
  return {
    status: 404,
    title: `No request ${JSON.stringify(fingerprint)} is in quarantine`,
    outcome: Outcome.NotRun,
    reason: "not-in-quarantine",
    detail: "see `geraniumkeel quarantine list`",
  };
}
