import * as ava from "ava";
import * as mapDifference from "./map_difference.ts";

const test = ava.default;

const BASE = [
  [[0, 1], [2], [3]],
  [[0], [1, 3], [2]],
];

test("a map is made of another one and what ranks exchange", (t) => {
  const next = [
    [[0, 1], [2], [0, 3]],
    [[1], [1, 3], [2]],
  ];
  const exchanges = mapDifference.differenceOf(BASE, next);
  t.deepEqual(exchanges, [
    [0, 2, [], [0]],
    [1, 0, [0], [1]],
  ]);
  t.deepEqual(mapDifference.withExchanges(BASE, exchanges), next);
  t.deepEqual(BASE[1][0], [0]);
});

// Streams meet two maps in one pass, as far as engines tell: a rank that was told the
// map whole and one that made it of changes hold the same experts in another order.
test("a map made of changes has its experts in the order of one sent whole", (t) => {
  const unordered = [[[1, 0], [2], [3]], BASE[1]];
  const whole = [[[0, 1], [2, 3], [3]], BASE[1]];
  const exchanges = mapDifference.differenceOf(unordered, whole);
  t.deepEqual(exchanges, [[0, 1, [], [3]]]);
  t.deepEqual(mapDifference.withExchanges(unordered, exchanges), whole);
});

test("equal maps differ in nothing", (t) => {
  t.deepEqual(mapDifference.differenceOf(BASE, BASE), []);
});

test("sizes are counted in numbers", (t) => {
  t.is(mapDifference.sizeOfMap(BASE), 8);
  t.is(
    mapDifference.sizeOfExchanges([
      [0, 2, [3], [0, 1]],
      [1, 0, [], []],
    ]),
    7,
  );
});
