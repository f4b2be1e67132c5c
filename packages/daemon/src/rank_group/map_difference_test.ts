import * as ava from "ava";
import * as mapDifference from "./map_difference.ts";

const test = ava.default;

const BASE = [
  [[0, 1], [2], [3]],
  [[0], [1, 3], [2]],
];

test("a map is made of another one and the cells that differ", (t) => {
  const next = [
    [[0, 1], [2], [3, 0]],
    [[1], [1, 3], [2]],
  ];
  const cells = mapDifference.differenceOf(BASE, next);
  t.deepEqual(cells, [
    [0, 2, 3, 0],
    [1, 0, 1],
  ]);
  t.deepEqual(mapDifference.withCells(BASE, cells), next);
  t.deepEqual(BASE[1][0], [0]);
});

test("equal maps differ in nothing", (t) => {
  t.deepEqual(mapDifference.differenceOf(BASE, BASE), []);
});

test("sizes are counted in numbers", (t) => {
  t.is(mapDifference.sizeOfMap(BASE), 8);
  t.is(
    mapDifference.sizeOfCells([
      [0, 2, 3, 0],
      [1, 0],
    ]),
    6,
  );
});
