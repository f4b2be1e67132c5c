import * as fs from "node:fs";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as exitCode from "./exit_code.ts";

/** How results are printed. */
export enum OutputFormat {
  Table = "table",
  Json = "json",
}

/** Options that every command takes. */
export interface SessionOptions {
  url: string;
  keyFile?: string;
  output: OutputFormat;
}

/** Why a command failed, and with which exit code it ends. */
export interface Failure {
  code: exitCode.ExitCode;
  message: string;
}

/** Outcome of a call to an entry. */
export type Answer = neverthrow.Result<Record<string, unknown>, Failure>;

const TIMEOUT_MILLISECONDS = 15_000;
const KEY_VARIABLE = "GERANIUMKEEL_KEY";

/** One run of the tool: where it talks to, and how it prints. */
export class Session {
  constructor(readonly options: SessionOptions) {}

  /** Calls the operators' interface of the entry. */
  async call(
    method: "GET" | "PUT" | "POST" | "PATCH" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<Answer> {
    const key = this.#readKey();
    if (key.isErr()) return neverthrow.err(key.error);
    try {
      const answer = await undici.request(`${this.options.url}${path}`, {
        method,
        headers: { authorization: `Bearer ${key.value}` },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      const text = await answer.body.text();
      const read = JSON.parse(text) as Record<string, unknown>;
      if (answer.statusCode === 200) return neverthrow.ok(read);
      return neverthrow.err(failureOf(answer.statusCode, read));
    } catch (cause) {
      return neverthrow.err(this.#unanswered(method, cause as Error));
    }
  }

  /** Prints a result as a table or as one JSON value. */
  print(value: unknown, table: () => string): void {
    const text =
      this.options.output === OutputFormat.Json
        ? JSON.stringify(value)
        : table();
    process.stdout.write(`${text}\n`);
  }

  /** Tells how a long action goes on, beside the result. */
  progress(text: string): void {
    process.stderr.write(`${text}\n`);
  }

  /** Reports a failure and sets the exit code. */
  fail(failure: Failure): void {
    process.stderr.write(`geraniumkeel: ${failure.message}\n`);
    process.exitCode = failure.code;
  }

  #readKey(): neverthrow.Result<string, Failure> {
    const { keyFile } = this.options;
    const code = exitCode.ExitCode.Usage;
    if (keyFile === undefined) {
      const key = process.env[KEY_VARIABLE];
      if (key) return neverthrow.ok(key);
      const message = `no operator's key: set ${KEY_VARIABLE} or give --key-file`;
      return neverthrow.err({ code, message });
    }
    try {
      return neverthrow.ok(fs.readFileSync(keyFile, "utf8").trim());
    } catch (cause) {
      const message = `--key-file ${keyFile}: ${(cause as Error).message}`;
      return neverthrow.err({ code, message });
    }
  }

  /** A read without an answer changed nothing; a change may have been made. */
  #unanswered(method: string, cause: Error): Failure {
    const { url } = this.options;
    const refused = (cause as { code?: string }).code === "ECONNREFUSED";
    if (method === "GET" || refused) {
      const message = `${url} does not answer: ${cause.message}`;
      return { code: exitCode.ExitCode.Refused, message };
    }
    const message = `${url} gave no answer (${cause.message}); the change may have been made: look with "configuration show"`;
    return { code: exitCode.ExitCode.Unknown, message };
  }
}

/** Failure told by a problem document. */
function failureOf(status: number, body: Record<string, unknown>): Failure {
  const { title, detail, outcome } = body as Record<string, string>;
  const message = detail ? `${title}\n${detail}` : title;
  if (status === 409) return { code: exitCode.ExitCode.Conflict, message };
  const unknown = outcome === "may-have-run";
  const { Unknown, Refused } = exitCode.ExitCode;
  return { code: unknown ? Unknown : Refused, message };
}
