import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as heartbeatClock from "./heartbeat_clock.ts";

const test = ava.default;

// A network that was cut may deliver a peer's proof seconds late. The receiver
// must not treat the proof as recent, so it counts the age of the proof from
// its own heartbeat that the peer echoed.
test("a proof dates from the echoed heartbeat minus the age of the proof", (t) => {
  const clock = new heartbeatClock.HeartbeatClock();
  const before = common.instant();
  const stamp = clock.nextStamp();
  const at = clock.provenAt({
    echoedStamp: stamp,
    echoedAge: 0,
    factAge: 250,
  });
  t.true(at !== undefined);
  t.true((at?.monotonic ?? 0) <= common.instant().monotonic - 250);
  t.true((at?.monotonic ?? 0) >= before.monotonic - 251);
});

test("a proof is later by the time that the peer waited before its echo", (t) => {
  const clock = new heartbeatClock.HeartbeatClock();
  const echoedStamp = clock.nextStamp();
  const early = clock.provenAt({ echoedStamp, echoedAge: 0, factAge: 100 });
  const late = clock.provenAt({ echoedStamp, echoedAge: 80, factAge: 100 });
  t.is(Math.round((late?.monotonic ?? 0) - (early?.monotonic ?? 0)), 80);
});

test("an echo of a heartbeat never sent, or sent long ago, proves nothing", (t) => {
  const clock = new heartbeatClock.HeartbeatClock();
  const first = clock.nextStamp();
  for (let count = 0; count < 1_024; count++) clock.nextStamp();
  for (const echoedStamp of [-1, first, 50_000]) {
    const at = clock.provenAt({ echoedStamp, echoedAge: 0, factAge: 0 });
    t.is(at, undefined);
  }
});

test("an echo from a peer that has no proof proves nothing", (t) => {
  const clock = new heartbeatClock.HeartbeatClock();
  const echoedStamp = clock.nextStamp();
  const at = clock.provenAt({ echoedStamp, echoedAge: 0, factAge: -1 });
  t.is(at, undefined);
});

// Answers to heartbeats are sent one by one, each with a number. If each took a
// new one, those of a second ago would be forgotten, and late proofs be lost.
test("heartbeats of the same moment have the same number", async (t) => {
  const clock = new heartbeatClock.HeartbeatClock();
  const first = clock.recentStamp();
  t.is(clock.recentStamp(), first);
  await common.sleep(25);
  const later = clock.recentStamp();
  t.is(later, first + 1);
  const at = clock.provenAt({ echoedStamp: first, echoedAge: 0, factAge: 0 });
  t.true((at?.monotonic ?? Infinity) <= common.now() - 25);
});
