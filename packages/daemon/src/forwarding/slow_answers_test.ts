import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as forwardingFixture from "./forwarding_fixture.ts";

const test = ava.default;

/** Time after which a runner with an objective of 40 ms counts as slow as any can. */
const SLOWEST_MILLISECONDS = 300;

function isSlow(
  entry: forwardingFixture.SteppedEntry,
  runner: string | undefined,
): boolean {
  const tracked = entry.tracker.runners();
  return tracked.some(({ identifier, slow }) => identifier === runner && slow);
}

/** Lets time pass until a condition holds, with a call at each check. */
async function untilWith(
  condition: () => boolean,
  call: () => void,
): Promise<void> {
  await forwardingFixture.until(() => {
    call();
    return condition();
  });
}

// The times of events are taken where they are relayed. If a change to the relay
// lost them, no runner would ever be found slow.
test("a runner whose stream pauses while another one goes on is slow, and gets no request until it has sent events in time", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    route: { gapMilliseconds: 40, mostAttempts: 1 },
  });
  const [first, second] = ["a", "b"].map((name) => entry.send(name));
  await forwardingFixture.until(
    () => first.calls.length > 0 && second.calls.length > 0,
  );
  const [pausing, steady] = [first.calls[0], second.calls[0]];
  t.not(pausing.runner, steady.runner);
  let [sent, sentSteady] = [0, 0];
  const sendSteady = () =>
    steady.send(forwardingFixture.eventText(++sentSteady));
  const sendBoth = () => {
    sendSteady();
    pausing.send(forwardingFixture.eventText(++sent));
  };
  pausing.begin();
  steady.begin();
  await untilWith(() => sent > 5, sendBoth);
  t.false(isSlow(entry, pausing.runner));
  await untilWith(() => isSlow(entry, pausing.runner), sendSteady);
  t.false(isSlow(entry, steady.runner));
  for (const name of ["c", "d", "e"]) {
    const later = entry.send(name);
    await forwardingFixture.until(() => later.calls.length > 0);
    t.is(later.calls[0].runner, steady.runner);
    later.calls[0].begin();
    later.calls[0].end();
    await later.finished;
  }
  await untilWith(() => !isSlow(entry, pausing.runner), sendBoth);
  for (const call of [pausing, steady]) call.end();
  await Promise.all([first.finished, second.finished]);
});

// A slow runner that gets no requests sends no answers. Without probes it would
// stay without requests for good after it has recovered.
test("a slow runner gets the tenth request when none of its answers is awaited, and is used again after answers in time", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    route: {
      answerForm: traffic.AnswerForm.Whole,
      objectiveMilliseconds: 40,
      mostAttempts: 1,
    },
  });
  const [first, second] = ["a", "b"].map((name) => entry.send(name));
  await forwardingFixture.until(
    () => first.calls.length > 0 && second.calls.length > 0,
  );
  const [slow, quick] = [first.calls[0], second.calls[0]];
  quick.begin();
  quick.end();
  await second.finished;
  await forwardingFixture.until(() => isSlow(entry, slow.runner));
  // As slow as a runner can count, so that it stays slow for two seconds unless
  // answers come: ten requests take long on a busy machine.
  const slowestAt = common.now() + SLOWEST_MILLISECONDS;
  await forwardingFixture.until(() => common.now() > slowestAt);
  slow.begin();
  slow.end();
  await first.finished;
  const order: number[] = [];
  for (let request = 1; isSlow(entry, slow.runner); request++) {
    const sent = entry.send(`later-${request}`);
    await forwardingFixture.until(() => sent.calls.length > 0);
    const [call] = sent.calls;
    if (call.runner === slow.runner) order.push(request);
    call.begin();
    call.end();
    await sent.finished;
  }
  t.is(order[0], 10);
  t.true(order.every((request) => request % 10 === 0));
});

test("a plain runner whose answers take much longer than those of another one is slow", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    route: {
      answerForm: traffic.AnswerForm.Whole,
      objectiveMilliseconds: 40,
      mostAttempts: 1,
    },
  });
  const [first, second] = ["a", "b"].map((name) => entry.send(name));
  await forwardingFixture.until(
    () => first.calls.length > 0 && second.calls.length > 0,
  );
  const [slow, quick] = [first.calls[0], second.calls[0]];
  quick.begin();
  quick.end();
  await second.finished;
  await forwardingFixture.until(() => isSlow(entry, slow.runner));
  t.false(isSlow(entry, quick.runner));
  slow.begin();
  slow.end();
  await first.finished;
  t.true(isSlow(entry, slow.runner));
});
