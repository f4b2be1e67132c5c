import * as traffic from "@geraniumkeel/traffic";

/**
 * Time after a crash in which bytes that the runner sent before the crash may
 * still arrive.
 */
const LATE_BYTES_MILLISECONDS = 250;
/**
 * Shortest time after a crash in which the runner may have restarted under the
 * same identifier and address. If it does not report its start time,
 * `incarnationOf` returns the same for both starts. So an answer that arrives
 * later than this does not show that the crash did not happen.
 */
const MIN_RESTART_MILLISECONDS = 1_500;
/**
 * Time after which a crashed runner is no longer in the runner list, as its
 * registration has expired.
 */
const LISTING_EXPIRY_MILLISECONDS = 10_000;
/**
 * Age of the runner list's proof up to which the list counts as current. The
 * proof is the moment at which the list was last certain to be the newest.
 */
const MAX_PROOF_AGE_MILLISECONDS = 2_000;
/** Age above which a crash is no longer compared with the runner list. */
const MAX_REVIEW_AGE_MILLISECONDS = 60_000;

/** What the review of crashes needs of its entry. */
export interface CrashReviewParameters {
  /** Monotonic time in milliseconds. */
  clock: () => number;
  /**
   * When an incarnation crashed; `undefined` if no crash of it is recorded, or
   * if the recorded crash was disproved.
   */
  crashTimeOf: (incarnation: string) => number | undefined;
  /** Incarnations that crashed between two times, both included. */
  crashedIncarnations: (earliest: number, latest: number) => string[];
  /** Called with an incarnation that was reported as crashed but still runs. */
  onDisproved: (incarnation: string) => void;
}

/**
 * Finds reports of crashes that did not happen. If an entry's connections to a
 * healthy runner are refused, this looks to the entry like a crash. But other
 * entries still receive answers from that runner, and it stays in the runner
 * list.
 */
export class CrashReview {
  /** Since when the runner list has been current without a gap. */
  #currentSince: number;

  constructor(readonly parameters: CrashReviewParameters) {
    this.#currentSince = parameters.clock();
  }

  /**
   * Reviews an answer that arrived from a runner. It disproves a crash if it
   * arrived too late to have been sent before the crash, and too early to come
   * from a restarted runner.
   */
  reviewAnswer(runner: traffic.RunnerEntry): void {
    const incarnation = traffic.incarnationOf(runner);
    const endedAt = this.parameters.crashTimeOf(incarnation);
    if (endedAt === undefined) return;
    const age = this.parameters.clock() - endedAt;
    if (age < LATE_BYTES_MILLISECONDS || age > MIN_RESTART_MILLISECONDS) return;
    this.parameters.onDisproved(incarnation);
  }

  /**
   * Reviews the runner list. It disproves the crash of an incarnation that is
   * still listed, if the crash is at least `LISTING_EXPIRY_MILLISECONDS` ago and
   * the list has been current for at least this time. `proofAge` is the time in
   * milliseconds since the proof of the list.
   */
  reviewList(list: traffic.RunnerList, proofAge: number): void {
    const now = this.parameters.clock();
    if (proofAge > MAX_PROOF_AGE_MILLISECONDS) this.#currentSince = now;
    // The registrations of runners that crashed up to this time have expired,
    // unless the table service, which stores them, was unreachable: then no
    // registration expires, not even that of a crashed runner. So the list
    // disproves a crash only if it has been current since this time.
    const latestCrashTime = now - LISTING_EXPIRY_MILLISECONDS;
    if (this.#currentSince > latestCrashTime) return;
    const crashed = this.parameters.crashedIncarnations(
      now - MAX_REVIEW_AGE_MILLISECONDS,
      latestCrashTime,
    );
    if (crashed.length === 0) return;
    const listed = new Set(list.runners.map(traffic.incarnationOf));
    for (const incarnation of crashed) {
      if (listed.has(incarnation)) this.parameters.onDisproved(incarnation);
    }
  }
}
