import * as common from "@geraniumkeel/common";
import type * as engineModule from "@geraniumkeel/engine";
import * as limitedRunner from "../rate_limit/limited_runner.ts";
import * as rateLimitHeader from "../rate_limit/rate_limit_header.ts";

/**
 * The request rate limit that the back end on this host names. All requests to
 * it pass this process, which therefore has the whole limit.
 */
export class BackEndRateLimit {
  #limited: limitedRunner.LimitedRunner | undefined;
  #unreadable = false;

  constructor(
    readonly parameters: {
      host: string;
      service: string;
      logger: common.Logger;
      clock?: () => common.Instant;
    },
  ) {}

  /** Notes what an answer of the back end says. */
  note({ rateLimit, sentAt }: engineModule.AnswerNotice): void {
    const { host, service, logger } = this.parameters;
    const reading = rateLimitHeader.readRateLimit(rateLimit);
    if (reading.kind === "unreadable") {
      if (this.#unreadable) return;
      this.#unreadable = true;
      const code = common.EventCode.RunnerRateLimitUnreadable;
      return logger.event(code, { runner: host, service, value: reading.text });
    }
    if (reading.kind === "absent" && !this.#limited) return;
    const perSecond = reading.kind === "named" ? reading.perSecond : undefined;
    const before = this.#limited?.fact.perSecond;
    const fact = { perSecond, sentAt, receivedAt: this.#instant() };
    if (this.#limited) this.#limited.apply(fact, this.#instant());
    else {
      const clock = () => this.#now();
      const { LimitedRunner } = limitedRunner;
      this.#limited = new LimitedRunner({
        incarnation: host,
        runner: host,
        service,
        fact,
        clock,
      });
    }
    const after = this.#limited.fact.perSecond;
    if (after === before) return;
    const code = common.EventCode.RunnerRateLimit;
    logger.event(code, { runner: host, service, perSecond: after, before });
  }

  /** Requests a second that the back end takes; `undefined` without a limit. */
  get perSecond(): number | undefined {
    return this.#limited?.isLimited ? this.#limited.perSecond : undefined;
  }

  /** Whether a request may be sent now, without taking its turn. */
  get hasRoom(): boolean {
    if (!this.#limited?.isLimited) return true;
    return this.#limited.waitMilliseconds(this.#now()) === 0;
  }

  /**
   * Takes the turn of a request that is sent now. Returns 0, or the
   * milliseconds after which there may be room for it.
   */
  take(): number {
    if (!this.#limited?.isLimited) return 0;
    const now = this.#now();
    const answer = this.#limited.schedule({
      share: 1,
      now,
      maxDelayMilliseconds: 0,
    });
    return answer.kind === "denied" ? answer.waitMilliseconds : 0;
  }

  /** Waits for the turn of a request that has to be sent, such as a resume. */
  async takeInTurn(signal: AbortSignal): Promise<void> {
    if (!this.#limited?.isLimited) return;
    const answer = this.#limited.schedule({
      share: 1,
      now: this.#now(),
      maxDelayMilliseconds: Infinity,
    });
    if (answer.kind === "granted")
      await common.sleep(answer.delayMilliseconds, signal);
  }

  /** What operators see; `undefined` without a limit. */
  describe(): unknown {
    if (!this.#limited?.isLimited) return undefined;
    const { perSecond, fact } = this.#limited;
    return {
      perSecond,
      age: Math.round(common.ageOf(fact.receivedAt, this.#instant())),
      grantedPerSecond: this.#limited.grantedPerSecond(this.#now()),
    };
  }

  #instant(): common.Instant {
    return this.parameters.clock?.() ?? common.instant();
  }

  #now(): number {
    return this.#instant().monotonic;
  }
}
