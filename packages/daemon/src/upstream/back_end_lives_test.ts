import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as backEndLives from "./back_end_lives.ts";

const test = ava.default;

function livesOf(presences: common.Presence[]): {
  lives: backEndLives.BackEndLives;
  looks: () => number;
} {
  let looks = 0;
  const lives = new backEndLives.BackEndLives({
    incarnation: "n",
    presence: async () => presences[looks++],
  });
  return { lives, looks: () => looks };
}

const { Refused, Listening, Silent } = common.Presence;

// Runs that one end took along must not count as several ends.
test("runs under way together are told the same life", async (t) => {
  const { lives, looks } = livesOf([Refused]);
  const startedAt = common.now();
  const told = await Promise.all([
    lives.endedUnder(startedAt),
    lives.endedUnder(startedAt - 5),
  ]);
  t.deepEqual(told, ["n/1", "n/1"]);
  t.is(await lives.endedUnder(startedAt - 50), "n/1");
  t.is(looks(), 1);
});

test("a run that began later ends with a later life", async (t) => {
  const { lives } = livesOf([Refused, Refused]);
  t.is(await lives.endedUnder(common.now()), "n/1");
  await common.sleep(2);
  t.is(await lives.endedUnder(common.now()), "n/2");
});

// An answer that a sound engine broke off, or that was lost on the way to it.
test("a back end that accepts connections, or says nothing, has not ended", async (t) => {
  const { lives } = livesOf([Listening, Silent]);
  t.is(await lives.endedUnder(common.now()), "");
  t.is(await lives.endedUnder(common.now()), "");
});
