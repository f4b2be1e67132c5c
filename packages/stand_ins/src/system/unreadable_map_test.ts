import * as ava from "ava";
import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as mapStore from "@geraniumkeel/daemon/expert_map/map_store";
import * as neverthrow from "neverthrow";

const test = ava.default;

const MAP = { version: 3, places: [[[0], [1]]] };

// Guards against an expert map of another shape, or of another version, that is staged at
// all ranks of a group, or ends its coordinator.
test("a stored map that can't be read is no map, and is told", async (t) => {
  const objects = new Map<string, string>();
  const told: string[] = [];
  const store: backingServices.ObjectStore = {
    put: (name, body) => {
      objects.set(name, body);
      return Promise.resolve(neverthrow.ok(undefined));
    },
    get: (name) => Promise.resolve(neverthrow.ok(objects.get(name))),
  };
  const maps = new mapStore.MapStore(
    store,
    new common.UnreadableRows({
      table: "maps",
      metrics: common.discardMetrics(),
      log: (name) => told.push(name),
    }),
  );
  await maps.write("g", MAP);
  t.deepEqual(await maps.read("g", 3), MAP);
  const [name] = objects.keys();
  const odd = ["", "{", "null", "[]", "{}"];
  for (const change of [
    { version: 4 },
    { version: "3" },
    { places: null },
    { places: [[0]] },
    { places: [[[-1]]] },
    { places: [[["0"]]] },
  ])
    odd.push(JSON.stringify({ ...MAP, ...change }));
  for (const value of odd) {
    objects.set(name, value);
    t.is(await maps.read("g", 3), undefined, value);
  }
  t.is(told.length, odd.length);
});
