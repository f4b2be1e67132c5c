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

/** What an answer says about the rest that its runner wants. */
export interface RestStatement {
  runner: traffic.RunnerEntry;
  /** Identifier of the answered request, for the log. */
  request: string;
  status: number;
  /** Value of the `Retry-After` header. */
  retryAfter: string | undefined;
}

/**
 * The rests that runners ask this entry for: a runner that turns a request away
 * may name a time in which it wants nothing from the entry. Other entries may
 * still send to it.
 */
export class RunnerRests {
  /** When the rest of each incarnation ends, by the monotonic clock. */
  readonly #endsAt = new Map<string, number>();

  constructor(readonly parameters: { logger: common.Logger }) {}

  /** Notes what an answer says; returns whether it asks for rest. */
  note(statement: RestStatement): boolean {
    const { runner, request, status } = statement;
    if (!TURNED_AWAY.has(status)) return false;
    const asked = retryAfter.readRetryAfter(statement.retryAfter, Date.now());
    if (asked === undefined) return false;
    const milliseconds = Math.min(asked, MAX_REST_MILLISECONDS);
    const incarnation = traffic.incarnationOf(runner);
    const endsAt = common.now() + milliseconds;
    if (endsAt <= (this.#endsAt.get(incarnation) ?? -Infinity)) return true;
    this.#endsAt.set(incarnation, endsAt);
    const { identifier, service } = runner;
    const code = common.EventCode.RunnerAsksForRest;
    const facts = { runner: identifier, service, request, milliseconds };
    this.parameters.logger.event(code, facts);
    return true;
  }
}
