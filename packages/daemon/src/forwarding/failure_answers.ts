import type * as answerBuffers from "./answer_buffers.ts";
import * as answerDeliveries from "./answer_deliveries.ts";
import type * as attemptOutcome from "./attempt_outcome.ts";
import type * as callerRequest from "./caller_request.ts";

/**
 * What runners answered that failed one request. It counts towards what the process
 * holds until the request has its final answer, which may be one of them.
 */
export class FailureAnswers {
  readonly #buffers: answerBuffers.AnswerBuffer[] = [];
  #isOver = false;

  constructor(readonly buffers: answerBuffers.AnswerBuffers) {}

  /** Opens the buffer of a further one; it takes nothing once the request is over. */
  open(): answerBuffers.AnswerBuffer {
    const buffer = this.buffers.open();
    if (this.#isOver) buffer.release();
    else this.#buffers.push(buffer);
    return buffer;
  }

  /**
   * Gives the caller the failure that a runner answered. One whose body has no room,
   * or was given up for other answers, is told by its kind alone: `undefined`.
   */
  deliver(
    { failure }: attemptOutcome.AttemptOutcome,
    sink: callerRequest.AnswerSink,
  ): Promise<boolean> | undefined {
    if (!failure || failure.body.problem !== undefined) return undefined;
    const release = this.buffers.deliveries.reserve(failure.body.bytes);
    if (!release) return undefined;
    const body = failure.body.join();
    failure.body.release();
    return answerDeliveries.AnswerDeliveries.deliver(release, () =>
      sink.answer(failure.head, body),
    );
  }

  /** Frees all of them, as the request is over. */
  release(): void {
    this.#isOver = true;
    for (const buffer of this.#buffers) buffer.release();
  }
}
