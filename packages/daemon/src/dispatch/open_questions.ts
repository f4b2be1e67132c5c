import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";

/**
 * Messages sent over a link that expect an answer. Each such question has a
 * number, and the answer repeats that number.
 */
export class OpenQuestions {
  /**
   * Resolves the promise of each question that has no answer yet, by number.
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

  /** Accepts the answer to a question; ignores it if it arrives too late. */
  answer(question: number, message: wire.Message): void {
    this.#resolvers.get(question)?.(message);
  }
}
