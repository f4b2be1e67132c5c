import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";

/**
 * Messages sent over a link that expect an answer. Each such question has a
 * number, from 1, and the answer repeats that number.
 */
export class OpenQuestions {
  /**
   * Functions that resolve the promises of the questions without an answer, by
   * question number.
   */
  readonly #resolvers = new Map<number, (answer: wire.Message) => void>();
  #lastNumber = 0;

  /** Number of questions that have no answer yet. */
  get count(): number {
    return this.#resolvers.size;
  }

  /**
   * Sends a question and returns its answer; `undefined` if none arrives within
   * the timeout.
   */
  async ask(parameters: {
    send: (message: wire.Message) => void;
    build: (question: number) => wire.Message;
    timeoutMilliseconds: number;
  }): Promise<wire.Message | undefined> {
    const { send, build, timeoutMilliseconds } = parameters;
    const question = ++this.#lastNumber;
    const answer = new Promise<wire.Message>((resolve) =>
      this.#resolvers.set(question, resolve),
    );
    send(build(question));
    const answered = await common.withTimeout(answer, timeoutMilliseconds);
    this.#resolvers.delete(question);
    return answered;
  }

  /** Accepts an answer; ignores one that arrives after the timeout. */
  answer(question: number, message: wire.Message): void {
    this.#resolvers.get(question)?.(message);
  }
}
