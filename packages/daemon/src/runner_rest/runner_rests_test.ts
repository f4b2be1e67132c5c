import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as runnerRests from "./runner_rests.ts";

const test = ava.default;

const RUNNER = runnerFixture.createRunner();

interface Setup {
  rests: runnerRests.RunnerRests;
  clock: { now: number };
  logger: common.RecordingLogger;
  /** Has the runner answer with a status and a `Retry-After`. */
  answer: (status: number, retryAfter: string | undefined) => boolean;
}

function createRests(): Setup {
  const clock = { now: 1_000 };
  const logger = new common.RecordingLogger();
  const rests = new runnerRests.RunnerRests({
    logger,
    metrics: common.discardMetrics(),
    clock: () => clock.now,
  });
  const answer = (status: number, retryAfter: string | undefined) =>
    rests.note({ runner: RUNNER, request: "q", status, retryAfter });
  return { rests, clock, logger, answer };
}

test("a runner that turns a request away rests for as long as it asks", (t) => {
  const { rests, clock, answer } = createRests();
  t.true(answer(503, "3"));
  t.is(rests.waitOf(RUNNER), 3_000);
  clock.now += 2_999;
  t.is(rests.waitOf(RUNNER), 1);
  clock.now += 1;
  t.is(rests.waitOf(RUNNER), 0);
});

for (const status of [200, 421, 500, 504]) {
  test(`Retry-After with status ${status} asks for no rest`, (t) => {
    const { rests, answer } = createRests();
    t.false(answer(status, "3"));
    t.is(rests.waitOf(RUNNER), 0);
  });
}

// Answers may overtake each other, and a second refusal may ask for less.
test("of two rests the one that ends later holds, and is logged", (t) => {
  const { rests, logger, answer } = createRests();
  answer(503, "5");
  t.true(answer(429, "1"));
  t.is(rests.waitOf(RUNNER), 5_000);
  answer(503, "9");
  t.is(rests.waitOf(RUNNER), 9_000);
  const asked = logger.events.map(({ fields }) => fields.milliseconds);
  t.deepEqual(asked, [5_000, 9_000]);
});

test("a rest of a year is kept for an hour, and then asked about", (t) => {
  const { rests, clock, answer } = createRests();
  answer(503, "31536000");
  clock.now += 3_600_000;
  t.is(rests.waitOf(RUNNER), 0);
});

// Guards against all that waited going to a runner that is still unwell.
test("after a rest one request goes first, and the others when it was taken", (t) => {
  const { rests, clock, answer } = createRests();
  answer(503, "3");
  clock.now += 3_000;
  rests.noteSent(RUNNER);
  t.is(rests.waitOf(RUNNER), 1_000);
  clock.now += 400;
  t.true(rests.noteTaken(RUNNER));
  t.is(rests.waitOf(RUNNER), 0);
  t.deepEqual(rests.describe(), []);
});

test("a first request without an answer keeps the others back for a second only", (t) => {
  const { rests, clock, answer } = createRests();
  answer(503, "3");
  clock.now += 3_000;
  rests.noteSent(RUNNER);
  clock.now += 1_000;
  t.is(rests.waitOf(RUNNER), 0);
});

test("a runner that turns the first request away rests anew", (t) => {
  const { rests, clock, answer } = createRests();
  answer(503, "3");
  clock.now += 3_000;
  rests.noteSent(RUNNER);
  clock.now += 5;
  answer(503, "3");
  t.is(rests.waitOf(RUNNER), 3_000);
});

// A long answer that began before the refusal goes on.
test("an answer to an earlier request does not end a rest", (t) => {
  const { rests, answer } = createRests();
  answer(503, "3");
  t.false(rests.noteTaken(RUNNER));
  t.is(rests.waitOf(RUNNER), 3_000);
});

test("a rest is of one incarnation, and stays while lists change", (t) => {
  const { rests, answer } = createRests();
  answer(503, "3");
  const restarted = { ...RUNNER, bornAt: RUNNER.bornAt + 1 };
  t.is(rests.waitOf(restarted), 0);
  rests.retain({ version: 2, runners: [] });
  rests.retain({ version: 3, runners: [RUNNER] });
  t.is(rests.waitOf(RUNNER), 3_000);
});
