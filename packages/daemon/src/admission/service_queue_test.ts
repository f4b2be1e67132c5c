import * as ava from "ava";
import * as serviceQueue from "./service_queue.ts";
import * as surgeReserve from "./surge_reserve.ts";

const test = ava.default;

const CAPACITY = 4;
const LOW_URGENCY = 6;
const HOUR_MILLISECONDS = 3_600_000;

interface Fixture {
  queue: serviceQueue.ServiceQueue<true>;
  /** Enters a request; its outcome's kind is noted under its name. */
  enter: (
    name: string,
    change?: Partial<serviceQueue.WaitingRequest<true>>,
  ) => void;
  outcomes: Map<string, string>;
  /** Frees places at runners and admits who waits. */
  releaseCapacity: (requests: number) => Promise<void>;
}

function fixture(
  parameters: { limit?: number; surge?: boolean } = {},
): Fixture {
  let runningCount = 0;
  const outcomes = new Map<string, string>();
  const queue = new serviceQueue.ServiceQueue<true>({
    limit: () => parameters.limit ?? 100,
    clock: () => 0,
    reserve: parameters.surge ? reserveDuringSurge() : undefined,
  });
  const takeRunner = (capacityShare: number): true | undefined => {
    if (runningCount >= CAPACITY * capacityShare) return undefined;
    runningCount++;
    return true;
  };
  return {
    queue,
    outcomes,
    enter: (name, change = {}) => {
      const outcome = queue.enter({
        account: "one",
        weight: 1,
        cost: 1,
        urgency: surgeReserve.DEFAULT_URGENCY,
        deadline: Infinity,
        signal: new AbortController().signal,
        wasAdmitted: false,
        takeRunner,
        ...change,
      });
      if (!(outcome instanceof Promise)) {
        outcomes.set(name, outcome.kind);
        return;
      }
      void outcome.then(({ kind }) => outcomes.set(name, kind));
    },
    releaseCapacity: async (requests) => {
      runningCount -= requests;
      queue.admitWaiting();
      await Promise.resolve();
    },
  };
}

/** A reserve of a half that expects a surge. */
function reserveDuringSurge(): surgeReserve.SurgeReserve {
  let wallMilliseconds = 0;
  const share = () => 0.5;
  const wallClock = () => wallMilliseconds;
  const reserve = new surgeReserve.SurgeReserve({ share, wallClock });
  for (; wallMilliseconds < HOUR_MILLISECONDS; wallMilliseconds += 1_000) {
    const rate = wallMilliseconds < 60_000 ? 50 : 5;
    for (let count = 0; count < rate; count++) reserve.count(0);
  }
  return reserve;
}

// A report job has filled all runners but the part that is kept for the surge,
// and more of it waits. A counter's request comes: it must not wait behind it.
test("a usual request passes those that leave room for the surge", (t) => {
  const { enter, outcomes, queue } = fixture({ surge: true });
  for (const name of ["a", "b", "c", "d"]) {
    enter(name, { account: "reports", urgency: LOW_URGENCY });
  }
  t.is(queue.length, 2);
  enter("counter", { account: "counters" });
  t.is(outcomes.get("counter"), "admitted");
  t.is(queue.length, 2);
});

test("many accounts that leave room do not hide one that need not", async (t) => {
  const { enter, outcomes, releaseCapacity } = fixture({ surge: true });
  for (const name of ["1", "2", "3", "4"]) enter(name);
  for (let account = 0; account < 8; account++) {
    const urgency = LOW_URGENCY;
    enter(`report ${account}`, { account: `reports-${account}`, urgency });
  }
  enter("counter", { account: "counters" });
  t.is(outcomes.get("counter"), undefined);
  await releaseCapacity(1);
  t.is(outcomes.get("counter"), "admitted");
});

test("without a surge less urgent requests have all room", (t) => {
  const { enter, queue } = fixture();
  for (const name of ["a", "b", "c", "d"]) {
    enter(name, { urgency: LOW_URGENCY });
  }
  t.is(queue.length, 0);
});

// The queue is full of a report job's requests. A counter's request comes: the
// last of the job is refused at once, as not run, and the counter's waits.
test("a full queue gives the place of a less urgent request away", async (t) => {
  const { enter, outcomes, queue } = fixture({ limit: 2 });
  for (const name of ["1", "2", "3", "4"]) enter(name);
  enter("first", { urgency: LOW_URGENCY });
  enter("last", { urgency: LOW_URGENCY });
  enter("third", { urgency: LOW_URGENCY });
  t.is(outcomes.get("third"), "full");
  enter("counter", { account: "counters" });
  await Promise.resolve();
  t.is(outcomes.get("last"), "full");
  t.is(outcomes.get("first"), undefined);
  t.is(queue.length, 2);
  enter("second counter", { account: "counters" });
  enter("third counter", { account: "counters" });
  t.is(outcomes.get("third counter"), "full");
});

test("a large account waits behind its own requests", async (t) => {
  const { enter, outcomes, releaseCapacity } = fixture();
  for (const name of ["1", "2", "3", "4"]) enter(name, { account: "large" });
  for (let count = 0; count < 10; count++) {
    enter(`large ${count}`, { account: "large" });
  }
  enter("small", { account: "small" });
  await releaseCapacity(2);
  t.is(outcomes.get("small"), "admitted");
});

// A request was admitted, and its runner turned out to be full. It goes first
// among its account's, and does not cost the account a second turn.
test("a request that comes back goes first and is not charged again", async (t) => {
  const { enter, outcomes, releaseCapacity } = fixture();
  for (const name of ["1", "2", "3", "4"]) enter(name);
  enter("next");
  enter("other", { account: "two" });
  enter("back", { wasAdmitted: true });
  await releaseCapacity(1);
  t.is(outcomes.get("back"), "admitted");
  t.is(outcomes.get("next"), undefined);
  await releaseCapacity(1);
  t.is(outcomes.get("next"), "admitted");
});
