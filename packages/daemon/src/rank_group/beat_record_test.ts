import * as ava from "ava";
import type * as wire from "@geraniumkeel/wire";
import * as beatRecord from "./beat_record.ts";

const test = ava.default;

function statusOf(others: Partial<wire.RankStatus> = {}): wire.RankStatus {
  return {
    epoch: 1,
    open: true,
    active: 3,
    waiting: 0,
    step: 10,
    mapVersion: 1,
    preparedVersion: 0,
    armedVersion: 0,
    armedStep: 0,
    heldStep: -1,
    ...others,
  };
}

test("a state that stays is told four times a second", (t) => {
  const record = new beatRecord.BeatRecord();
  let told = 0;
  for (let now = 0; now < 2_000; now += 40) {
    if (record.take(statusOf({ step: now, active: now % 5 }), now)) told++;
  }
  t.true(told >= 7 && told <= 9);
});

// The leader waits for each stage of a switch: a loaded map, a held pass.
test("a stage of a switch is told at once", (t) => {
  const record = new beatRecord.BeatRecord();
  record.take(statusOf(), 0);
  t.true(record.take(statusOf({ preparedVersion: 2 }), 5));
  t.true(record.take(statusOf({ preparedVersion: 2, heldStep: 4 }), 6));
  t.false(record.take(statusOf({ preparedVersion: 2, heldStep: 4 }), 7));
});

test("a new leader is told all", (t) => {
  const record = new beatRecord.BeatRecord();
  record.take(statusOf(), 0);
  record.forget();
  t.true(record.take(statusOf(), 1));
});
