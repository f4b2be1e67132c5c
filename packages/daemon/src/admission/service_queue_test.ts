import * as ava from "ava";
import * as serviceQueue from "./service_queue.ts";
import * as surgeReserve from "./surge_reserve.ts";

const test = ava.default;

/**
 * Requests that can run at once. The tests enter the requests "1" to "4" to use
 * all of it.
 */
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
  /** Completes this many running requests, then admits waiting ones. */
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

/**
 * Returns a reserve that expects a surge and then reserves half of the
 * capacity. It has counted the requests of an hour, ten times as many per
 * second in the first minute as later. Its clock stays at the start of the next
 * hour. The requests have urgency 0, since low-urgency ones are not counted.
 */
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

// Two requests of a batch job use the capacity that is not reserved for the
// surge, and two more wait. An interactive request must not wait behind them.
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

// Eight accounts with low-urgency requests are ahead of the interactive one,
// more than `MAX_SKIPPED_ACCOUNTS`.
test("many low-urgency requests do not keep one of default urgency from a runner", async (t) => {
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

test("without a surge low-urgency requests may use all capacity", (t) => {
  const { enter, queue } = fixture();
  for (const name of ["a", "b", "c", "d"]) {
    enter(name, { urgency: LOW_URGENCY });
  }
  t.is(queue.length, 0);
});

// Two requests of a batch job fill the queue, so its third one is refused. An
// interactive request arrives: the queue refuses the job's second request and
// the interactive one waits. Another interactive request gets the place of the
// job's first one. For the next, no low-urgency request is left to refuse.
test("a full queue refuses a low-urgency request to make room for an interactive one", async (t) => {
  const { enter, outcomes, queue } = fixture({ limit: 2 });
  for (const name of ["1", "2", "3", "4"]) enter(name);
  enter("batch 1", { urgency: LOW_URGENCY });
  enter("batch 2", { urgency: LOW_URGENCY });
  enter("batch 3", { urgency: LOW_URGENCY });
  t.is(outcomes.get("batch 3"), "full");
  enter("interactive", { account: "interactive" });
  await Promise.resolve();
  t.is(outcomes.get("batch 2"), "full");
  t.is(outcomes.get("batch 1"), undefined);
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

// A request was admitted, but its runner turned out to be full, and it enters
// the queue again. It goes before the other requests of its account, and its
// account is not charged a second time: otherwise "other" would be admitted
// before "next".
test("a request that was admitted before goes first and is not charged again", async (t) => {
  const { enter, outcomes, releaseCapacity } = fixture();
  for (const name of ["1", "2", "3", "4"]) enter(name);
  enter("next");
  enter("other", { account: "two" });
  enter("again", { wasAdmitted: true });
  await releaseCapacity(1);
  t.is(outcomes.get("again"), "admitted");
  t.is(outcomes.get("next"), undefined);
  await releaseCapacity(1);
  t.is(outcomes.get("next"), "admitted");
});
