import * as ava from "ava";
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
