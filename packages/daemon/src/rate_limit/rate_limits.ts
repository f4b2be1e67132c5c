import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as rateLimitHeader from "./rate_limit_header.ts";

/** What an answer of a runner says about its request rate limit. */
export interface RateLimitStatement {
  runner: traffic.RunnerEntry;
  /** Identifier of the answered request, for the log. */
  request: string;
  reading: rateLimitHeader.RateLimitReading;
  /** Whether the answer is certainly the runner's own. */
  signed: boolean;
}

/**
 * The request rate limits that runners name in their answers: the requests a
 * second that a runner takes from all entries together.
 */
export class RateLimits {
  /** Last value named, by incarnation; `undefined` once it was lifted. */
  readonly #named = new Map<string, number | undefined>();

  /** Incarnations that named a value that cannot be read; logged once each. */
  readonly #unreadable = new Set<string>();

  constructor(readonly parameters: { logger: common.Logger }) {}

  /** Notes what an answer says, and logs it if it differs from the last. */
  note({ runner, request, reading, signed }: RateLimitStatement): void {
    const { logger } = this.parameters;
    const incarnation = traffic.incarnationOf(runner);
    const { identifier, service } = runner;
    const facts = { runner: identifier, service, request };
    if (reading.kind === "unreadable") {
      if (this.#unreadable.has(incarnation)) return;
      this.#unreadable.add(incarnation);
      const code = common.EventCode.RunnerRateLimitUnreadable;
      return logger.event(code, { ...facts, value: reading.text });
    }
    if (reading.kind === "absent" && !signed) return;
    const perSecond = reading.kind === "named" ? reading.perSecond : undefined;
    const before = this.#named.get(incarnation);
    if (before === perSecond) return;
    this.#named.set(incarnation, perSecond);
    const code = common.EventCode.RunnerRateLimit;
    logger.event(code, { ...facts, perSecond, before });
  }
}
