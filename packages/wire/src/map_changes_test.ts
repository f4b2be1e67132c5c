import * as ava from "ava";
import * as mapChanges from "./map_changes.ts";

const test = ava.default;

const BASE = { version: 1, places: [[[0], [1], [2]]] };
const NEXT = { version: 2, places: [[[0], [1, 2], [2]]] };

test("changes on their base give the new map", (t) => {
  const changes = mapChanges.changesBetween(BASE, NEXT);
  t.deepEqual(changes.changes, [[0, 1, [1, 2]]]);
  t.deepEqual(mapChanges.applyChanges(BASE, changes), NEXT);
});

// One rank's agent kept another map under the same version. With the changes
// alone it would use a map of its own, in the same steps as the others.
test("changes on another base are refused", (t) => {
  const changes = mapChanges.changesBetween(BASE, NEXT);
  const other = { version: 1, places: [[[0], [1], [0]]] };
  t.is(mapChanges.applyChanges(other, changes), undefined);
  t.is(mapChanges.applyChanges({ ...BASE, version: 3 }, changes), undefined);
});
