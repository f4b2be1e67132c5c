import * as ava from "ava";
import * as mapBoundedModule from "./map_bounded.ts";

const test = ava.default;

test("no more tasks run at once than the limit, and results keep their order", async (t) => {
  let running = 0;
  let most = 0;
  const double = async (item: number) => {
    most = Math.max(most, ++running);
    await new Promise((resolve) => setImmediate(resolve));
    running--;
    return 2 * item;
  };
  const results = await mapBoundedModule.mapBounded([1, 2, 3, 4, 5], 2, double);
  t.deepEqual(results, [2, 4, 6, 8, 10]);
  t.is(most, 2);
});

test("no further task begins after one has failed", async (t) => {
  const begun: number[] = [];
  const failSecond = async (item: number) => {
    begun.push(item);
    if (item === 2) throw new Error("failed");
  };
  const mapped = mapBoundedModule.mapBounded([1, 2, 3, 4], 1, failSecond);
  await t.throwsAsync(mapped, { message: "failed" });
  t.deepEqual(begun, [1, 2]);
});
