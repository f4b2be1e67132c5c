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
    sentAge: common.ageOf(fact.sentAt, now),
    receivedAge: common.ageOf(fact.receivedAt, now),
    allocator,
  };
}

/** The fact that another entry reports, by this entry's clocks. */
export function factOf(
  { perSecond, sentAge, receivedAge }: wire.ReportedRateLimit,
  now: common.Instant,
): rateLimitFact.RateLimitFact {
  const sentBefore = sentAge + MAX_TRANSIT_MILLISECONDS;
  return {
    perSecond: perSecond === NO_LIMIT ? undefined : perSecond,
    sentAt: rateLimitFact.instantBefore(sentBefore, now),
    receivedAt: rateLimitFact.instantBefore(receivedAge, now),
  };
}
