import * as common from "@geraniumkeel/common";
import * as undici from "undici";
import * as sequence from "../sequence.ts";

/** How a caller's request ended. */
export enum CallOutcome {
  Whole = "whole",
  /** Told truthfully that it did not run. */
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
  /** Broke off without a clean end. */
  Broken = "broken",
  /** Ended cleanly with something else than the whole own answer. */
  Wrong = "wrong",
}

/** What one request came to. */
export interface CallReport {
  outcome: CallOutcome;
  detail: string;
  /** Milliseconds to the first token, of a whole streamed answer. */
  firstTokenMilliseconds: number;
  /** Milliseconds between tokens. */
  intervals: number[];
  tokens: number;
  attempts: number;
}

/** Times a caller comes back after a truthful "not run". */
const MOST_TRIES = 40;
const LONGEST_PAUSE_MILLISECONDS = 2_000;

interface EntryList {
  entries: { url: string }[];
  validForSeconds: number;
}

/**
 * A caller as real ones behave: it asks any entry host which to use, keeps the
 * answer for a while, connects there, and comes back when told to.
 */
export class Caller {
  #entries: string[] = [];
  #validUntil = 0;

  constructor(
    readonly parameters: {
      /** Entry hosts known beforehand, to ask which to use. */
      known: string[];
      key: string;
      random: common.Random;
      dispatcher: undici.Dispatcher;
      /** Whether it comes back after "not run". */
      patient: boolean;
    },
  ) {}

  /** Sends a chat request and checks that the answer is whole and its own. */
  async chat(model: string, prompt: string): Promise<CallReport> {
    return this.#persist((url) => this.#chatOnce(url, model, prompt));
  }

  /** Makes a plain call under an idempotency key. */
  async confirm(
    service: string,
    path: string,
    call: string,
  ): Promise<CallReport> {
    return this.#persist((url) =>
      this.#callOnce(url, service, path, call, { "idempotency-key": call }),
    );
  }

  /** Makes a plain call without a key. */
  async call(service: string, path: string, call: string): Promise<CallReport> {
    return this.#persist((url) => this.#callOnce(url, service, path, call, {}));
  }

  async #persist(
    send: (url: string) => Promise<CallReport & { pause?: number }>,
  ): Promise<CallReport> {
    for (let attempts = 1; ; attempts++) {
      const url = await this.#entry();
      const report = await send(url);
      report.attempts = attempts;
      const retry =
        report.outcome === CallOutcome.NotRun && this.parameters.patient;
      if (!retry || attempts >= MOST_TRIES) return report;
      // This entry refused; the next one in the list may not.
      this.#entries.push(...this.#entries.splice(0, 1));
      const pause = report.pause ?? 100;
      await common.sleep(Math.min(pause, LONGEST_PAUSE_MILLISECONDS));
    }
  }

  async #chatOnce(
    url: string,
    model: string,
    prompt: string,
  ): Promise<CallReport & { pause?: number }> {
    const started = common.now();
    const report = emptyReport();
    try {
      const answer = await undici.request(`${url}/v1/chat/completions`, {
        method: "POST",
        dispatcher: this.parameters.dispatcher,
        headers: { authorization: `Bearer ${this.parameters.key}` },
        body: JSON.stringify({
          model,
          stream: true,
          messages: [{ role: "user", content: prompt }],
        }),
      });
      if (answer.statusCode !== 200) return refused(answer);
      const rendered = `<|user|>${prompt}\n<|assistant|>`;
      const text = await readStream(answer.body, report, started);
      return judge(report, text, expectedText(rendered));
    } catch (cause) {
      return failed(report, cause);
    }
  }

  async #callOnce(
    url: string,
    service: string,
    path: string,
    call: string,
    headers: Record<string, string>,
  ): Promise<CallReport & { pause?: number }> {
    const report = emptyReport();
    try {
      const answer = await undici.request(`${url}/services/${service}${path}`, {
        method: "POST",
        dispatcher: this.parameters.dispatcher,
        headers: {
          authorization: `Bearer ${this.parameters.key}`,
          "x-call": call,
          ...headers,
        },
        body: JSON.stringify({ call }),
      });
      if (answer.statusCode !== 200) return refused(answer);
      const body = await answer.body.text();
      const echoed = (JSON.parse(body) as { call: string }).call;
      report.outcome = echoed === call ? CallOutcome.Whole : CallOutcome.Wrong;
      return report;
    } catch (cause) {
      return failed(report, cause);
    }
  }

  /** The entry host to use; asks again when the answer is too old. */
  async #entry(): Promise<string> {
    const { known, random, key, dispatcher } = this.parameters;
    if (this.#entries.length > 0 && common.now() < this.#validUntil) {
      return this.#entries[0];
    }
    const candidates = [...this.#entries, random.pick(known), ...known];
    for (const url of candidates) {
      try {
        const answer = await undici.request(`${url}/v1/entries`, {
          dispatcher,
          headers: { authorization: `Bearer ${key}` },
          headersTimeout: 2_000,
        });
        const body = (await answer.body.json()) as EntryList;
        if (answer.statusCode !== 200 || body.entries.length === 0) continue;
        this.#entries = body.entries.map((entry) => entry.url);
        this.#validUntil = common.now() + body.validForSeconds * 1_000;
        return this.#entries[0];
      } catch {
        continue;
      }
    }
    return random.pick(known);
  }
}

/** Whole text that the engine stand-in gives to a rendered prompt. */
export function expectedText(rendered: string): string {
  const length = sequence.answerLength(rendered);
  return Array.from({ length }, (_, index) =>
    sequence.tokenText(rendered, index),
  ).join("");
}

function emptyReport(): CallReport {
  return {
    outcome: CallOutcome.Broken,
    detail: "",
    firstTokenMilliseconds: 0,
    intervals: [],
    tokens: 0,
    attempts: 1,
  };
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
  report: CallReport,
  started: number,
): Promise<{ text: string; done: boolean }> {
  const decoder = new TextDecoder();
  let rest = "";
  let text = "";
  let done = false;
  let last = 0;
  for await (const chunk of body) {
    const events = (rest + decoder.decode(chunk, { stream: true })).split(
      "\n\n",
    );
    rest = events.pop() ?? "";
    for (const event of events) {
      const data = event.slice("data: ".length);
      if (data === "[DONE]") {
        done = true;
        continue;
      }
      const piece = contentOf(data);
      if (!piece) continue;
      const now = common.now();
      if (last === 0) report.firstTokenMilliseconds = now - started;
      else report.intervals.push(now - last);
      last = now;
      report.tokens++;
      text += piece;
    }
  }
  return { text, done };
}

function contentOf(data: string): string {
  const event = JSON.parse(data) as {
    choices: { delta: { content?: string } }[];
  };
  return event.choices[0]?.delta.content ?? "";
}

function judge(
  report: CallReport,
  read: { text: string; done: boolean },
  expected: string,
): CallReport {
  const whole = read.done && read.text === expected;
  report.outcome = whole ? CallOutcome.Whole : CallOutcome.Wrong;
  if (!whole) {
    report.detail = `got ${read.text.length} of ${expected.length} characters`;
  }
  return report;
}

async function refused(
  answer: undici.Dispatcher.ResponseData,
): Promise<CallReport & { pause?: number }> {
  const text = await answer.body.text();
  const told = JSON.parse(text) as { outcome?: string; reason?: string };
  const report = emptyReport();
  const notRun = told.outcome === "not-run";
  report.outcome = notRun ? CallOutcome.NotRun : CallOutcome.MayHaveRun;
  report.detail = told.reason ?? String(answer.statusCode);
  const seconds = Number(answer.headers["retry-after"] ?? 0);
  return { ...report, pause: seconds * 1_000 };
}

function failed(report: CallReport, cause: unknown): CallReport {
  const error = cause as { code?: string; message?: string };
  report.detail = error.code ?? error.message ?? "failed";
  // A connection refused proves that nothing was sent.
  const notSent = error.code === "ECONNREFUSED";
  report.outcome = notSent ? CallOutcome.NotRun : CallOutcome.Broken;
  return report;
}
