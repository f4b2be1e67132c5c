import * as ava from "ava";
import * as heldBytes from "./held_bytes.ts";

const test = ava.default;

// Guards against small answers that are given up for one without end.
test("the holder of the most bytes is given up, and counts no more", (t) => {
  const held = new heldBytes.HeldBytes(100);
  const givenUp: string[] = [];
  const open = (name: string) => held.open(() => givenUp.push(name));
  const [small, endless] = [open("small"), open("endless")];
  small.set(30);
  endless.set(70);
  t.deepEqual(givenUp, []);
  small.set(40);
  t.deepEqual(givenUp, ["endless"]);
  endless.set(1_000);
  t.is(held.total, 40);
  small.release();
  t.is(held.total, 0);
});
