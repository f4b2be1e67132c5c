import * as ava from "ava";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as crashReview from "./crash_review.ts";

const test = ava.default;

const RUNNER = runnerFixture.createRunner();
const LIST: traffic.RunnerList = { version: 1, runners: [RUNNER] };

interface Fixture {
  review: crashReview.CrashReview;
  disproved: string[];
  /** Advances the clock. */
  advance: (milliseconds: number) => void;
}

/**
 * A review in a process that started at time 0 and recorded a crash of the
 * runner at the same time.
 */
function createFixture(): Fixture {
  let now = 0;
  const disproved: string[] = [];
  const incarnation = traffic.incarnationOf(RUNNER);
  const review = new crashReview.CrashReview({
    clock: () => now,
    crashTimeOf: (requested) => (requested === incarnation ? 0 : undefined),
    crashedIncarnations: (earliest, latest) =>
      earliest <= 0 && latest >= 0 ? [incarnation] : [],
    onDisproved: (disprovedIncarnation) => disproved.push(disprovedIncarnation),
  });
  return {
    review,
    disproved,
    advance: (milliseconds) => (now += milliseconds),
  };
}

// A broken link between an entry and a runner must not count as a crash.
test("an answer after a reported crash disproves the crash", (t) => {
  const { review, disproved, advance } = createFixture();
  advance(500);
  review.reviewAnswer(RUNNER);
  t.deepEqual(disproved, [traffic.incarnationOf(RUNNER)]);
});

test("an answer that arrives just after a crash does not disprove it", (t) => {
  const { review, disproved, advance } = createFixture();
  advance(50);
  review.reviewAnswer(RUNNER);
  t.deepEqual(disproved, []);
});

// The runner may have restarted under the same identifier.
test("an answer seconds after a crash does not disprove it", (t) => {
  const { review, disproved, advance } = createFixture();
  advance(3_000);
  review.reviewAnswer(RUNNER);
  t.deepEqual(disproved, []);
});

test("a runner that stays listed disproves its crash", (t) => {
  const { review, disproved, advance } = createFixture();
  advance(5_000);
  review.reviewList(LIST, 100);
  t.deepEqual(disproved, []);
  advance(6_000);
  review.reviewList(
    { version: 2, runners: [{ ...RUNNER, bornAt: 2_000 }] },
    100,
  );
  t.deepEqual(disproved, []);
  review.reviewList(LIST, 100);
  t.deepEqual(disproved, [traffic.incarnationOf(RUNNER)]);
});

// While the table service is unreachable no registration expires, not even that
// of a crashed runner.
test("a list that was not current for long enough does not disprove a crash", (t) => {
  const { review, disproved, advance } = createFixture();
  advance(8_000);
  review.reviewList(LIST, 5_000);
  advance(6_000);
  review.reviewList(LIST, 100);
  t.deepEqual(disproved, []);
});
