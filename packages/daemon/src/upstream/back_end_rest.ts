import * as common from "@geraniumkeel/common";
import type * as engineModule from "@geraniumkeel/engine";
import type * as traffic from "@geraniumkeel/traffic";
import * as runnerRests from "../runner_rest/runner_rests.ts";

/**
 * The rest that the back end on this host asks for when it turns a request
 * away. This process is the only one that sends to it, so the rest is all
 * entries'. What runs goes on, as does a rest when the back end starts anew: an
 * answer does not tell one start from another.
 */
export class BackEndRest {
  readonly #rests: runnerRests.RunnerRests;
  readonly #backEnd: traffic.RunnerEntry;

  constructor(parameters: {
    host: string;
    service: string;
    logger: common.Logger;
    metrics: common.Metrics;
  }) {
    this.#rests = new runnerRests.RunnerRests(parameters);
    this.#backEnd = {
      identifier: parameters.host,
      bornAt: 0,
      service: parameters.service,
      version: "",
      address: "",
      port: 0,
      dataCentre: "",
      slots: 0,
      leaving: false,
      warmingUp: false,
    };
  }

  /** Notes what an answer of the back end says. */
  note({ status, retryAfter }: engineModule.AnswerNotice): void {
    const runner = this.#backEnd;
    const asksForRest = this.#rests.note({
      runner,
      request: "",
      status,
      retryAfter,
    });
    if (!asksForRest) this.#rests.noteTaken(runner);
  }

  /** Notes that a request is sent to the back end. */
  noteSent(): void {
    this.#rests.noteSent(this.#backEnd);
  }

  /** Milliseconds until the back end may get a request; 0 if it may now. */
  get waitMilliseconds(): number {
    return this.#rests.waitOf(this.#backEnd);
  }

  /** Waits until the back end may get a request. */
  async wait(signal: AbortSignal): Promise<void> {
    while (this.waitMilliseconds > 0 && !signal.aborted) {
      await common.sleep(this.waitMilliseconds, signal);
    }
  }
}
