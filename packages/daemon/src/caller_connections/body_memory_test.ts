import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as bodyMemory from "./body_memory.ts";

const test = ava.default;

const MAX_BYTES = 1_000;
const HELD_MILLISECONDS = 1_050;

function openReservation(memory: bodyMemory.BodyMemory): {
  reservation: bodyMemory.BodyReservation;
  isGivenUp: () => boolean;
} {
  let givenUp = false;
  const reservation = memory.open(() => (givenUp = true));
  return { reservation, isGivenUp: () => givenUp };
}

test("one body alone has room whatever its length", (t) => {
  const memory = new bodyMemory.BodyMemory(MAX_BYTES);
  const { reservation } = openReservation(memory);
  t.true(reservation.grow(10 * MAX_BYTES));
  reservation.release();
  t.is(memory.bytes, 0);
});

// Guards against large bodies that leave no room for what a small request needs.
test("large bodies leave room for small ones", (t) => {
  const memory = new bodyMemory.BodyMemory(MAX_BYTES);
  t.true(openReservation(memory).reservation.grow(500));
  t.false(openReservation(memory).reservation.grow(500));
  t.true(openReservation(memory).reservation.grow(100));
  t.true(memory.bytes <= MAX_BYTES);
});

// Guards against callers that hold memory for long and keep others out.
test("the incomplete body that held most for longest is given up", async (t) => {
  const memory = new bodyMemory.BodyMemory(MAX_BYTES);
  const small = openReservation(memory);
  const large = openReservation(memory);
  const whole = openReservation(memory);
  small.reservation.grow(100);
  large.reservation.grow(300);
  whole.reservation.grow(250);
  whole.reservation.complete();
  t.false(openReservation(memory).reservation.grow(300), "too soon");
  await common.sleep(HELD_MILLISECONDS);
  t.true(openReservation(memory).reservation.grow(300));
  t.deepEqual(
    [small, large, whole].map(({ isGivenUp }) => isGivenUp()),
    [false, true, false],
  );
});
