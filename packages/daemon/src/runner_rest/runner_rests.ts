import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as retryAfter from "./retry_after.ts";

/** Status codes with which a runner turns requests away. */
const TURNED_AWAY = new Set([429, 503]);
/**
 * Longest rest that is kept. A runner that asks for more gets a request then,
 * which shows whether it still turns requests away.
 */
const MAX_REST_MILLISECONDS = 3_600_000;
/**
 * Time for which the first request after a rest is the only one, while it has no
 * answer: a runner that is still unwell would turn all others away.
 */
const FIRST_REQUEST_MILLISECONDS = 1_000;

/** What an answer says about the rest that its runner wants. */
export interface RestStatement {
  runner: traffic.RunnerEntry;
  /** Identifier of the answered request, for the log. */
  request: string;
  status: number;
  /** Value of the `Retry-After` header. */
  retryAfter: string | undefined;
}

/** A runner that asked for rest, and has taken no request since. */
interface RestingRunner {
  runner: traffic.RunnerEntry;
  /**
   * When the rest ends, by the monotonic clock. That clock stands still while
   * the host is suspended, so a rest may last longer and never shorter.
   */
  endsAt: number;
  /** When the first request after the rest was sent. */
  firstSentAt: number;
}

/**
 * The rests that runners ask this entry for: a runner that turns a request away
 * may name a time in which it wants nothing from the entry. Other entries may
 * still send to it. After the rest one request goes first; the others follow
 * when the runner has taken it.
 */
export class RunnerRests {
  readonly #resting = new Map<string, RestingRunner>();
  readonly #now: () => number;

  constructor(
    readonly parameters: {
      logger: common.Logger;
      metrics: common.Metrics;
      clock?: () => number;
    },
  ) {
    this.#now = parameters.clock ?? common.now;
  }

  /** Notes what an answer says; returns whether it asks for rest. */
  note(statement: RestStatement): boolean {
    const { runner, request, status } = statement;
    if (!TURNED_AWAY.has(status)) return false;
    const asked = retryAfter.readRetryAfter(statement.retryAfter, Date.now());
    if (asked === undefined) return false;
    const milliseconds = Math.min(asked, MAX_REST_MILLISECONDS);
    const incarnation = traffic.incarnationOf(runner);
    const endsAt = this.#now() + milliseconds;
    const known = this.#resting.get(incarnation);
    if (known) known.firstSentAt = -Infinity;
    if (known && known.endsAt >= endsAt) return true;
    const firstSentAt = -Infinity;
    this.#resting.set(incarnation, { runner, endsAt, firstSentAt });
    const { identifier, service } = runner;
    const { logger, metrics } = this.parameters;
    const code = common.EventCode.RunnerAsksForRest;
    logger.event(code, { runner: identifier, service, request, milliseconds });
    metrics.count(common.Metric.RunnerRests, { service });
    return true;
  }

  /** Notes that a runner has begun to answer a request: it is well again. */
  noteTaken(runner: traffic.RunnerEntry): boolean {
    if (this.#resting.size === 0) return false;
    const incarnation = traffic.incarnationOf(runner);
    const resting = this.#resting.get(incarnation);
    // An answer to a request from before the rest does not end it.
    if (!resting || resting.endsAt > this.#now()) return false;
    return this.#resting.delete(incarnation);
  }

  /** Notes that a request is sent to a runner. */
  noteSent(runner: traffic.RunnerEntry): void {
    const resting = this.#resting.get(traffic.incarnationOf(runner));
    if (resting) resting.firstSentAt = this.#now();
  }

  /**
   * Milliseconds until a request may be sent to a runner, as far as its rest is
   * concerned; 0 if it may be sent now.
   */
  waitOf(runner: traffic.RunnerEntry): number {
    if (this.#resting.size === 0) return 0;
    const resting = this.#resting.get(traffic.incarnationOf(runner));
    if (!resting) return 0;
    const now = this.#now();
    const firstDone = resting.firstSentAt + FIRST_REQUEST_MILLISECONDS;
    return Math.max(0, resting.endsAt - now, firstDone - now);
  }

  /** Applies the list of runners: rests of runners that are gone end. */
  retain(list: traffic.RunnerList): void {
    if (this.#resting.size === 0) return;
    const listed = new Set(list.runners.map(traffic.incarnationOf));
    const now = this.#now();
    for (const [incarnation, { endsAt }] of this.#resting) {
      // A runner may be missing from a list for a moment.
      if (!listed.has(incarnation) && endsAt <= now)
        this.#resting.delete(incarnation);
    }
  }

  /** The rests of this entry, for operators. */
  describe(): unknown[] {
    const now = this.#now();
    return [...this.#resting.values()].map(({ runner, endsAt }) => ({
      runner: runner.identifier,
      service: runner.service,
      millisecondsLeft: Math.max(0, Math.round(endsAt - now)),
    }));
  }
}
