import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";

/** Questions asked over a link and not answered yet, by their numbers. */
export class OpenQuestions {
  readonly #open = new Map<number, (answer: wire.Message) => void>();
  #lastNumber = 0;

  /** Questions without an answer. */
  get count(): number {
    return this.#open.size;
  }

  /** Sends a question and waits for its answer; `undefined` if none comes. */
  async ask(parameters: {
    send: (message: wire.Message) => void;
    build: (question: number) => wire.Message;
    timeoutMilliseconds: number;
  }): Promise<wire.Message | undefined> {
    const { send, build, timeoutMilliseconds } = parameters;
    const question = ++this.#lastNumber;
    const answer = new Promise<wire.Message>((resolve) =>
      this.#open.set(question, resolve),
    );
    send(build(question));
    const answered = await common.withTimeout(answer, timeoutMilliseconds);
    this.#open.delete(question);
    return answered;
  }

  /** Takes in an answer; one that comes too late belongs to no question. */
  answer(question: number, message: wire.Message): void {
    this.#open.get(question)?.(message);
  }
}
