import * as ava from "ava";
import * as serviceQueue from "./service_queue.ts";
import * as surgeReserve from "./surge_reserve.ts";

const test = ava.default;

const CAPACITY = 4;
const LOW_URGENCY = 6;
const HOUR_MILLISECONDS = 3_600_000;

interface Fixture {
  queue: serviceQueue.ServiceQueue<true>;
  /** Enters a request and stores its outcome's kind under its name. */
  enter: (
    name: string,
    change?: Partial<serviceQueue.WaitingRequest<true>>,
  ) => void;
  outcomes: Map<string, string>;
  /** Completes this many running requests and admits waiting ones. */
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

/** A reserve of half the capacity that expects a surge. */
function reserveDuringSurge(): surgeReserve.SurgeReserve {
  let wallMilliseconds = 0;
  const reservedShare = () => 0.5;
  const wallClock = () => wallMilliseconds;
  const reserve = new surgeReserve.SurgeReserve({ reservedShare, wallClock });
  for (; wallMilliseconds < HOUR_MILLISECONDS; wallMilliseconds += 1_000) {
    const requestsInSecond = wallMilliseconds < 60_000 ? 50 : 5;
    for (let count = 0; count < requestsInSecond; count++)
      reserve.countRequest(0);
  }
  return reserve;
}

// A batch job has filled all capacity but the reserve for the surge, and more
// of its requests wait. An interactive request must not wait behind them.
test("the surge reserve lets a request of default urgency go first", (t) => {
  const { enter, outcomes, queue } = fixture({ surge: true });
  for (const name of ["a", "b", "c", "d"]) {
    enter(name, { account: "batch", urgency: LOW_URGENCY });
  }
  t.is(queue.length, 2);
  enter("interactive", { account: "interactive" });
  t.is(outcomes.get("interactive"), "admitted");
  t.is(queue.length, 2);
});

test("many less urgent accounts do not hide one of default urgency", async (t) => {
  const { enter, outcomes, releaseCapacity } = fixture({ surge: true });
  for (const name of ["1", "2", "3", "4"]) enter(name);
  for (let account = 0; account < 8; account++) {
    const urgency = LOW_URGENCY;
    enter(`batch ${account}`, { account: `batch-${account}`, urgency });
  }
  enter("interactive", { account: "interactive" });
  t.is(outcomes.get("interactive"), undefined);
  await releaseCapacity(1);
  t.is(outcomes.get("interactive"), "admitted");
});

test("without a surge less urgent requests may use all capacity", (t) => {
  const { enter, queue } = fixture();
  for (const name of ["a", "b", "c", "d"]) {
    enter(name, { urgency: LOW_URGENCY });
  }
  t.is(queue.length, 0);
});

// The queue is full of a batch job's requests. When an interactive request
// arrives, the job's last request is refused and the interactive one waits.
test("a full queue refuses a less urgent request for a more urgent one", async (t) => {
  const { enter, outcomes, queue } = fixture({ limit: 2 });
  for (const name of ["1", "2", "3", "4"]) enter(name);
  enter("first", { urgency: LOW_URGENCY });
  enter("last", { urgency: LOW_URGENCY });
  enter("third", { urgency: LOW_URGENCY });
  t.is(outcomes.get("third"), "full");
  enter("interactive", { account: "interactive" });
  await Promise.resolve();
  t.is(outcomes.get("last"), "full");
  t.is(outcomes.get("first"), undefined);
  t.is(queue.length, 2);
  enter("second interactive", { account: "interactive" });
  enter("third interactive", { account: "interactive" });
  t.is(outcomes.get("third interactive"), "full");
});

test("a small account does not wait behind all requests of a large one", async (t) => {
  const { enter, outcomes, releaseCapacity } = fixture();
  for (const name of ["1", "2", "3", "4"]) enter(name, { account: "large" });
  for (let count = 0; count < 10; count++) {
    enter(`large ${count}`, { account: "large" });
  }
  enter("small", { account: "small" });
  await releaseCapacity(2);
  t.is(outcomes.get("small"), "admitted");
});

// A request was admitted, but its runner was full. It goes before the other
// requests of its account, and its account is not charged a second time.
test("a request that returns goes first and is not charged again", async (t) => {
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
