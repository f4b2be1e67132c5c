import * as ava from "ava";
import * as mapDifference from "./map_difference.ts";

const test = ava.default;

const BASE = [
  [[0, 1], [2], [3]],
  [[0], [1, 3], [2]],
];

test("the exchanges between two maps turn the base map into the next", (t) => {
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

// A rank that received the full map and one that derived it from changes would
// hold the same experts in another order. To engines that compare the lists,
// the group would use two maps in one iteration.
test("a map derived from changes has its experts in the order of a full map", (t) => {
  const unordered = [[[1, 0], [2], [3]], BASE[1]];
  const fullMap = [[[0, 1], [2, 3], [3]], BASE[1]];
  const exchanges = mapDifference.differenceOf(unordered, fullMap);
  t.deepEqual(exchanges, [[0, 1, [], [3]]]);
  t.deepEqual(mapDifference.withExchanges(unordered, exchanges), fullMap);
});

test("equal maps have no exchanges", (t) => {
  t.deepEqual(mapDifference.differenceOf(BASE, BASE), []);
});

test("the size of a map is how many numbers it consists of", (t) => {
  t.is(mapDifference.sizeOfMap(BASE), 8);
  t.is(
    mapDifference.sizeOfExchanges([
      [0, 2, [3], [0, 1]],
      [1, 0, [], []],
    ]),
    7,
  );
});
