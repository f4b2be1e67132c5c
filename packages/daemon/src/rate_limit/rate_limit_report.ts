import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as limitedRunner from "./limited_runner.ts";
import * as rateLimitFact from "./rate_limit_fact.ts";

/** Value on the wire for a runner that named no limit. */
const NO_LIMIT = -1;
/**
 * Longest time that a report of another entry may have been under way. Within
 * it, a report does not count as newer than an answer that arrived here.
 */
const MAX_TRANSIT_MILLISECONDS = 1_500;

/**
 * Age of the answer of a runner of which no answer is known, on the wire: beyond
 * that of any answer, so that it replaces nothing also at an entry whose version
 * does not know of it. Such a runner is reported while it warms up.
 */
const NO_STATEMENT_AGE_MILLISECONDS = 1e12;

/** What other entries are told of a runner's limit. */
export function toReport(
  { incarnation, runner, service, fact }: limitedRunner.LimitedRunner,
  allocator: string,
  now: common.Instant,
): wire.ReportedRateLimit {
  return {
    life: incarnation,
    runner,
    service,
    perSecond: fact.perSecond ?? NO_LIMIT,
    sentAge: ageOnWire(fact.sentAt, now),
    receivedAge: ageOnWire(fact.receivedAt, now),
    allocator,
  };
}

/** The fact that another entry reports, by this entry's clocks. */
export function factOf(
  { perSecond, sentAge, receivedAge }: wire.ReportedRateLimit,
  now: common.Instant,
): rateLimitFact.RateLimitFact {
  if (receivedAge >= NO_STATEMENT_AGE_MILLISECONDS)
    return rateLimitFact.NO_STATEMENT;
  const sentBefore = sentAge + MAX_TRANSIT_MILLISECONDS;
  return {
    perSecond: perSecond === NO_LIMIT ? undefined : perSecond,
    sentAt: rateLimitFact.instantBefore(sentBefore, now),
    receivedAt: rateLimitFact.instantBefore(receivedAge, now),
  };
}

function ageOnWire(moment: common.Instant, now: common.Instant): number {
  return Math.min(common.ageOf(moment, now), NO_STATEMENT_AGE_MILLISECONDS);
}
