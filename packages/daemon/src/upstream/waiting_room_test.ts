import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as waitingRoom from "./waiting_room.ts";

const test = ava.default;

const TIMEOUT_MILLISECONDS = 20_000;

interface Fixture {
  room: waitingRoom.WaitingRoom<string>;
  /** Has attempts end: so many have room now. */
  free: (places: number) => void;
  advance: (milliseconds: number) => void;
  left: string[];
  /** Waits until so many have left. */
  untilLeft: (count: number) => Promise<boolean>;
  stop: () => Promise<void>;
}

function fixture(): Fixture {
  let places = 0;
  let now = 0;
  const left: string[] = [];
  const changed = new common.ChangeNotice();
  const leaving = new common.ChangeNotice();
  const room = new waitingRoom.WaitingRoom<string>({
    changed,
    hasRoom: () => places > 0,
    leave: (value) => {
      left.push(places > 0 ? value : `${value} refused`);
      places = Math.max(0, places - 1);
      leaving.announce();
    },
    mostWaiting: 3,
    clock: () => now,
  });
  const stopping = new AbortController();
  const running = room.run(stopping.signal);
  return {
    room,
    left,
    free: (count) => {
      places += count;
      changed.announce();
    },
    advance: (milliseconds) => (now += milliseconds),
    untilLeft: (count) =>
      leaving.until({
        condition: () => left.length >= count,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      }),
    stop: () => {
      stopping.abort();
      return running;
    },
  };
}

test("dispatches start in the order they came, as room opens", async (t) => {
  const { room, free, left, untilLeft, stop } = fixture();
  for (const name of ["a", "b", "c"]) t.true(room.enter(name));
  t.false(room.enter("d"));
  free(2);
  t.true(await untilLeft(2));
  t.deepEqual(left, ["a", "b"]);
  t.is(room.length, 1);
  await stop();
});

// A runner stays full. What waits is told so after a moment, and goes back to
// its entry's queue, from where another runner may take it.
test("a dispatch that finds no room in time is refused", async (t) => {
  const { room, advance, left, untilLeft, stop } = fixture();
  room.enter("a");
  advance(60);
  room.enter("b");
  advance(60);
  t.true(await untilLeft(1));
  t.deepEqual(left, ["a refused"]);
  t.is(room.length, 1);
  await stop();
});

// The process is told to stop. Nothing starts any more, so nothing waits: each
// entry hears at once that its request did not run here.
test("a room that is cleared lets all out at once", async (t) => {
  const { room, left, stop } = fixture();
  room.enter("a");
  room.enter("b");
  room.clear();
  t.deepEqual(left, ["a refused", "b refused"]);
  t.is(room.length, 0);
  await stop();
});
