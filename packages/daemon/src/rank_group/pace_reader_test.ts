import * as ava from "ava";
import type * as common from "@geraniumkeel/common";
import * as paceReader from "./pace_reader.ts";

const test = ava.default;

function createReader(): {
  reader: paceReader.PaceReader;
  logged: common.EventFields[];
} {
  const logged: common.EventFields[] = [];
  const logger: common.Logger = {
    event: (_, fields = {}) => logged.push(fields),
  };
  return { reader: new paceReader.PaceReader(logger), logged };
}

// With a pace of 1e308 the load of a rank is no longer finite, and its group
// gets no map any more.
test("a pace above 100 counts as 100", (t) => {
  const { reader, logged } = createReader();
  const read = [12, 100, 100.5, 1e308].map((pace) => reader.read(pace, "e"));
  t.deepEqual(read, [12, 100, 100, 100]);
  t.deepEqual(logged, []);
});

test("an unreadable pace counts as 1 and is logged once for each engine", (t) => {
  const { reader, logged } = createReader();
  for (const pace of [-1, Infinity, NaN, "12", {}]) {
    t.is(reader.read(pace, "e"), 1);
  }
  t.deepEqual(logged, [{ peer: "e", pace: "-1" }]);
  t.is(reader.read(undefined, "f"), 1);
  t.is(logged.length, 1);
});
