import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as zod from "zod";
import type * as runnerDirectory from "../dispatch/runner_directory.ts";

const STATE_TIMEOUT_MILLISECONDS = 2_000;

/** What operations on other processes need. */
export interface RemoteOperationsParameters {
  self: string;
  runners: runnerDirectory.RunnerDirectory;
  sendToEntry: (host: string, message: wire.Message) => Promise<boolean>;
  state: () => unknown;
  drain: () => void;
}

/** Operations on any process, asked for at any entry. */
export class RemoteOperations {
  #question = 0;
  readonly #questions = new Map<number, (text: string) => void>();

  constructor(readonly parameters: RemoteOperationsParameters) {}

  /**
   * State dump of a process; `undefined` when it cannot be reached, or its dump
   * can't be read.
   */
  async state(host: string): Promise<unknown> {
    const { self, runners } = this.parameters;
    if (host === self) return this.parameters.state();
    const runner = runners.get(host);
    const text = runner
      ? await runner.readState(STATE_TIMEOUT_MILLISECONDS)
      : await this.#askEntry(host);
    if (text === undefined) return undefined;
    return common.validateJson(zod.unknown(), text).unwrapOr(undefined);
  }

  /** Starts the drain of a process; false when it cannot be reached. */
  async drain(host: string): Promise<boolean> {
    const { self, runners, sendToEntry } = this.parameters;
    if (host === self) {
      this.parameters.drain();
      return true;
    }
    const runner = runners.get(host);
    if (runner) return runner.drain();
    return sendToEntry(host, { kind: wire.MessageKind.Drain });
  }

  /** Handles what another entry asks of this one, or answers. */
  handle(host: string, message: wire.Message): void {
    switch (message.kind) {
      case wire.MessageKind.Drain:
        return this.parameters.drain();
      case wire.MessageKind.StateRequest: {
        const text = JSON.stringify(this.parameters.state());
        const kind = wire.MessageKind.StateAnswer;
        const { question } = message;
        void this.parameters.sendToEntry(host, { kind, question, text });
        return;
      }
      case wire.MessageKind.StateAnswer:
        return this.#questions.get(message.question)?.(message.text);
      default:
        return;
    }
  }

  async #askEntry(host: string): Promise<string | undefined> {
    const question = ++this.#question;
    const answer = new Promise<string>((resolve) =>
      this.#questions.set(question, resolve),
    );
    const kind = wire.MessageKind.StateRequest;
    const sent = await this.parameters.sendToEntry(host, { kind, question });
    const text = sent
      ? await common.withTimeout(answer, STATE_TIMEOUT_MILLISECONDS)
      : undefined;
    this.#questions.delete(question);
    return text;
  }
}
