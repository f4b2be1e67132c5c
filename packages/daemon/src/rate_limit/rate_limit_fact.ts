import * as common from "@geraniumkeel/common";

/** What one answer of a runner said about its request rate limit. */
export interface RateLimitFact {
  /** Requests a second; `undefined` if the answer named no limit. */
  perSecond: number | undefined;
  /** When the request was sent: the answer is not older than this. */
  sentAt: common.Instant;
  /** When the head of the answer arrived: the answer is not newer than this. */
  receivedAt: common.Instant;
}

/** Longer ago than any other moment. */
const NEVER: common.Instant = { monotonic: -Infinity, wall: -Infinity };

/** The fact about a runner of which no answer is known; all others replace it. */
export const NO_STATEMENT: RateLimitFact = {
  perSecond: undefined,
  sentAt: NEVER,
  receivedAt: NEVER,
};

/**
 * Whether a fact replaces the one that is known. Answers on different
 * connections may overtake each other, so a fact is certainly newer only if its
 * request was sent after the known answer arrived. Of two answers whose order
 * is unknown the stricter one holds: the next answer settles the matter.
 */
export function replaces(
  candidate: RateLimitFact,
  known: RateLimitFact,
  now: common.Instant,
): boolean {
  const isNotBefore = (moment: common.Instant, other: common.Instant) =>
    common.ageOf(moment, now) <= common.ageOf(other, now);
  if (isNotBefore(candidate.sentAt, known.receivedAt)) return true;
  if (isNotBefore(known.sentAt, candidate.receivedAt)) return false;
  const stricter = limitOf(candidate) - limitOf(known);
  if (stricter !== 0) return stricter < 0;
  return isNotBefore(candidate.receivedAt, known.receivedAt);
}

/** A moment that lies this many milliseconds back. */
export function instantBefore(
  ageMilliseconds: number,
  now: common.Instant,
): common.Instant {
  return {
    monotonic: now.monotonic - ageMilliseconds,
    wall: now.wall - ageMilliseconds,
  };
}

function limitOf({ perSecond }: RateLimitFact): number {
  return perSecond ?? Infinity;
}
