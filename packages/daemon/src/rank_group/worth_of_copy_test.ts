import * as ava from "ava";
import type * as wire from "@geraniumkeel/wire";
import * as worthOfCopy from "./worth_of_copy.ts";

const test = ava.default;

// On a quiet day a map that levels all peaks costs more than all callers gain; in
// a rush it lets a group answer half as many again. Copies are weighed by how
// much of the group's room is taken.
test("a copy must gain less the fuller the group is", (t) => {
  const gains = [0, 0.2, 0.3, 0.4, 0.6, 1].map(worthOfCopy.leastGainOfCopy);
  for (let index = 1; index < gains.length; index++) {
    t.true(gains[index] <= gains[index - 1]);
  }
  t.true(gains[0] >= 4 * gains[5]);
});

// After an outage the backlog arrives in the second in which the next map is
// loaded: a map for the few requests that were there first is soon too weak.
test("a group with its first map is planned for as full", (t) => {
  const status = (mapVersion: number): wire.RankStatus => ({
    epoch: 2,
    open: true,
    active: 1,
    waiting: 0,
    step: 3,
    mapVersion,
    preparedVersion: mapVersion,
    armedVersion: 0,
    armedStep: 0,
    heldStep: -1,
  });
  t.is(worthOfCopy.fullnessOf([status(0), status(0)], 8), 1);
  t.is(worthOfCopy.fullnessOf([status(1), status(1)], 8), 1 / 8);
});
