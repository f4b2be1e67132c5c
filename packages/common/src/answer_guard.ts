import * as wrongAnswer from "./wrong_answer.ts";

/** Statuses of final answers (RFC 9110, 15). */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
const HTTP_VERSIONS = new Set(["1.0", "1.1"]);

/**
 * Checks what a far end sends in answer to one HTTP request, part by part. Each
 * check returns what is wrong; the connection is of no use from then on. Clients
 * use one guard for each request, so that a far end can neither send what a
 * caller's connection refuses, nor keep this process busy without end.
 */
export class AnswerGuard {
  /** Checks the final head; `version` only where the client tells it. */
  checkHead(head: {
    status: number;
    version?: string;
  }): wrongAnswer.WrongAnswer | undefined {
    const { status, version } = head;
    if (version !== undefined && !HTTP_VERSIONS.has(version)) {
      const kind = wrongAnswer.WrongAnswerKind.Version;
      return { kind, detail: version };
    }
    if (status < MIN_STATUS || status > MAX_STATUS) {
      const kind = wrongAnswer.WrongAnswerKind.Status;
      return { kind, detail: String(status) };
    }
    return undefined;
  }
}
