import * as wrongAnswer from "./wrong_answer.ts";

/** Statuses of final answers (RFC 9110, 15). */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
const HTTP_VERSIONS = new Set(["1.0", "1.1"]);
/** Heads such as 103 Early Hints that may come before the final one. */
const MAX_INTERIM_HEADS = 16;
/** Bytes around a chunk of a body, at least: its length and two line ends. */
const MIN_FRAMING_BYTES = 5;
/**
 * What a byte around a chunk counts, in bytes: to handle a chunk costs as much as
 * to copy some hundreds of bytes.
 */
const FRAMING_FACTOR = 100;

/**
 * Checks what a far end sends in answer to one HTTP request, part by part. Each
 * check returns what is wrong; the connection is of no use from then on. Clients
 * use one guard for each request, so that a far end can neither send what a
 * caller's connection refuses, nor keep this process busy without end.
 */
export class AnswerGuard {
  #interimHeads = 0;
  #size = 0;

  constructor(
    /** Longest body in bytes, chunks counted with an overhead. */
    readonly maxBodyBytes: number,
  ) {}

  /** Counts a head with a status of 100 to 199. */
  checkInterimHead(status: number): wrongAnswer.WrongAnswer | undefined {
    if (++this.#interimHeads <= MAX_INTERIM_HEADS) return undefined;
    const kind = wrongAnswer.WrongAnswerKind.InterimHeads;
    return { kind, detail: `${this.#interimHeads}, of status ${status}` };
  }

  /** Checks the final head; `version` only where the client tells it. */
  checkHead(head: {
    status: number;
    version?: string;
    contentLength?: string | undefined;
  }): wrongAnswer.WrongAnswer | undefined {
    const { status, version, contentLength = "0" } = head;
    if (version !== undefined && !HTTP_VERSIONS.has(version)) {
      const kind = wrongAnswer.WrongAnswerKind.Version;
      return { kind, detail: version };
    }
    if (status < MIN_STATUS || status > MAX_STATUS) {
      const kind = wrongAnswer.WrongAnswerKind.Status;
      return { kind, detail: String(status) };
    }
    return Number(contentLength) > this.maxBodyBytes
      ? this.#tooLong(`${contentLength} bytes announced`)
      : undefined;
  }

  /** Counts a piece of the body, and what came around its chunks. */
  checkPiece(
    bytes: number,
    framingBytes = MIN_FRAMING_BYTES,
  ): wrongAnswer.WrongAnswer | undefined {
    this.#size += bytes + framingBytes * FRAMING_FACTOR;
    return this.#size > this.maxBodyBytes
      ? this.#tooLong(`over ${this.maxBodyBytes} bytes`)
      : undefined;
  }

  #tooLong(detail: string): wrongAnswer.WrongAnswer {
    return { kind: wrongAnswer.WrongAnswerKind.TooLong, detail };
  }
}
