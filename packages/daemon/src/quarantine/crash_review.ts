import * as traffic from "@geraniumkeel/traffic";

/** Time in which bytes that a runner sent before its end may still arrive. */
const LATE_BYTES_MILLISECONDS = 250;
/**
 * Time after which a runner may be back under the identifier that it had, so that an
 * answer says nothing of its former life.
 */
const MIN_RESTART_MILLISECONDS = 1_500;
/** Time after which a runner that ended is listed no more. */
const LISTING_EXPIRY_MILLISECONDS = 10_000;
/** Age of the list's proof up to which the list is as the store has it. */
const MAX_FRESH_PROOF_AGE_MILLISECONDS = 2_000;
/** Ends older than this are reviewed no more. */
const MAX_REVIEW_AGE_MILLISECONDS = 60_000;

/** What reviewing ends needs. */
export interface CrashReviewParameters {
  clock: () => number;
  /** When a life of a runner ended, if any entry saw it. */
  crashTimeOf: (incarnation: string) => number | undefined;
  /** Lives that ended from one moment to another. */
  crashedIncarnations: (earliest: number, latest: number) => string[];
  /** Told of a life that had not ended. */
  onDisproved: (incarnation: string) => void;
}

/**
 * Finds ends that were none. An entry that is cut off from a sound runner, in such a
 * way that its connections are refused, sees what it would see of one that ended; but
 * others go on hearing that runner, and it stays listed.
 */
export class CrashReview {
  /** Since when the list has been as the store has it. */
  #freshSince: number;

  constructor(readonly parameters: CrashReviewParameters) {
    this.#freshSince = parameters.clock();
  }

  /** An answer of a runner has come. */
  reviewAnswer(runner: traffic.RunnerEntry): void {
    const incarnation = traffic.incarnationOf(runner);
    const endedAt = this.parameters.crashTimeOf(incarnation);
    if (endedAt === undefined) return;
    const age = this.parameters.clock() - endedAt;
    if (age < LATE_BYTES_MILLISECONDS || age > MIN_RESTART_MILLISECONDS) return;
    this.parameters.onDisproved(incarnation);
  }

  /** Looks at the list; `proofAge` is how long a newer one may have gone unseen. */
  reviewList(list: traffic.RunnerList, proofAge: number): void {
    const now = this.parameters.clock();
    if (proofAge > MAX_FRESH_PROOF_AGE_MILLISECONDS) this.#freshSince = now;
    // While the store was away no registration lapsed.
    const latest = now - LISTING_EXPIRY_MILLISECONDS;
    if (this.#freshSince > latest) return;
    const crashed = this.parameters.crashedIncarnations(
      now - MAX_REVIEW_AGE_MILLISECONDS,
      latest,
    );
    if (crashed.length === 0) return;
    const listed = new Set(list.runners.map(traffic.incarnationOf));
    for (const incarnation of crashed) {
      if (listed.has(incarnation)) this.parameters.onDisproved(incarnation);
    }
  }
}
