import * as ava from "ava";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as crashReview from "./crash_review.ts";

const test = ava.default;

const RUNNER = runnerFixture.createRunner();
const LIST: traffic.RunnerList = { version: 1, runners: [RUNNER] };

interface Scene {
  review: crashReview.CrashReview;
  disproved: string[];
  /** Has time pass. */
  advance: (milliseconds: number) => void;
}

/** A process that saw the runner end at 0, and began then. */
function sceneOf(): Scene {
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

// A cut between one entry and a runner must not pass for the runner's end.
test("a runner that answers after its end had not ended", (t) => {
  const { review, disproved, advance } = sceneOf();
  advance(500);
  review.reviewAnswer(RUNNER);
  t.deepEqual(disproved, [traffic.incarnationOf(RUNNER)]);
});

test("an answer that was on its way at the end says nothing", (t) => {
  const { review, disproved, advance } = sceneOf();
  advance(50);
  review.reviewAnswer(RUNNER);
  t.deepEqual(disproved, []);
});

// A runner may start again under the identifier that it had.
test("an answer seconds later may be of another life", (t) => {
  const { review, disproved, advance } = sceneOf();
  advance(3_000);
  review.reviewAnswer(RUNNER);
  t.deepEqual(disproved, []);
});

test("a runner that stays listed had not ended", (t) => {
  const { review, disproved, advance } = sceneOf();
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

// No registration lapses while the store is away, a dead runner's neither.
test("a list that was not kept says nothing of who is alive", (t) => {
  const { review, disproved, advance } = sceneOf();
  advance(8_000);
  review.reviewList(LIST, 5_000);
  advance(6_000);
  review.reviewList(LIST, 100);
  t.deepEqual(disproved, []);
});
