import * as traffic from "@geraniumkeel/traffic";

/** Time in which bytes that a runner sent before its end may still arrive. */
const LATE_BYTES_MILLISECONDS = 250;
/**
 * Time after which a runner may be back under the identifier that it had, so that an
 * answer says nothing of its former life.
 */
const RETURN_MILLISECONDS = 1_500;
/** Time after which a runner that ended is listed no more. */
const LISTED_MILLISECONDS = 10_000;
/** Age of the list's proof up to which the list is as the store has it. */
const FRESH_MILLISECONDS = 2_000;
/** Ends older than this are reviewed no more. */
const REVIEWED_MILLISECONDS = 60_000;

/** What reviewing ends needs. */
export interface CrashReviewParameters {
  clock: () => number;
  /** When a life of a runner ended, if any entry saw it. */
  crashTimeOf: (life: string) => number | undefined;
  /** Lives that ended from one moment to another. */
  crashedIncarnations: (earliest: number, latest: number) => string[];
  /** Told of a life that had not ended. */
  onDisproved: (life: string) => void;
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
    const life = traffic.incarnationOf(runner);
    const endedAt = this.parameters.crashTimeOf(life);
    if (endedAt === undefined) return;
    const age = this.parameters.clock() - endedAt;
    if (age < LATE_BYTES_MILLISECONDS || age > RETURN_MILLISECONDS) return;
    this.parameters.onDisproved(life);
  }

  /** Looks at the list; `proofAge` is how long a newer one may have gone unseen. */
  reviewList(list: traffic.RunnerList, proofAge: number): void {
    const now = this.parameters.clock();
    if (proofAge > FRESH_MILLISECONDS) this.#freshSince = now;
    // While the store was away no registration lapsed.
    const latest = now - LISTED_MILLISECONDS;
    if (this.#freshSince > latest) return;
    const lives = this.parameters.crashedIncarnations(
      now - REVIEWED_MILLISECONDS,
      latest,
    );
    if (lives.length === 0) return;
    const listed = new Set(list.runners.map(traffic.incarnationOf));
    for (const life of lives) {
      if (listed.has(life)) this.parameters.onDisproved(life);
    }
  }
}
