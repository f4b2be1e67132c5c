import * as common from "@geraniumkeel/common";
import * as serviceQueue from "@geraniumkeel/daemon/admission/service_queue";
import * as statistics from "./statistics.ts";
import * as virtualRequest from "./virtual_request.ts";
import * as virtualRunners from "./virtual_runners.ts";
import * as virtualTime from "./virtual_time.ts";

const SEEDS = 10;
const CALLERS = 3_000;
const WAKE_MILLISECONDS = 500;
const QUEUE_LIMIT = 256;
const CENTRE_MILLISECONDS = 1_000;

/** What a refused caller is told. */
enum ReturnPolicy {
  Fixed = "the same second",
  Jittered = "half to one and a half seconds",
  Paced = "a time of its own",
}

interface Figures {
  /** Refusals for each request answered. */
  refusals: number;
  /** Time until all were answered, over the time that serving them takes. */
  stretch: number;
}

/** Callers that wake together come back until they are answered. */
export async function measureReturn(): Promise<object> {
  const result: Record<string, unknown> = {};
  for (const policy of Object.values(ReturnPolicy)) {
    const runs: Figures[] = [];
    for (let seed = 1; seed <= SEEDS; seed++)
      runs.push(await run(policy, seed));
    result[policy] = {
      refusals: statistics.spread(runs.map((one) => one.refusals)),
      stretch: statistics.spread(runs.map((one) => one.stretch)),
    };
  }
  return { seeds: SEEDS, callers: CALLERS, policies: result };
}

/** Queue, runners and callers in virtual time. */
async function run(policy: ReturnPolicy, seed: number): Promise<Figures> {
  const random = new common.Random(seed);
  const time = new virtualTime.VirtualTime();
  const { clock } = time;
  const limit = () => QUEUE_LIMIT;
  const queue = new serviceQueue.ServiceQueue<true>({ limit, clock });
  const onFree = () => queue.admitWaiting();
  const runners = new virtualRunners.VirtualRunners({ time, random, onFree });
  let refusals = 0;
  const arrive = (): void => {
    const { take } = runners;
    const outcome = queue.enter(
      virtualRequest.virtualRequest({ account: "all", takeRunner: take }),
    );
    if (outcome instanceof Promise) {
      void outcome.then(() => runners.serve());
      return;
    }
    if (outcome.kind === "admitted") {
      runners.serve();
      return;
    }
    refusals++;
    const wait = outcome.kind === "full" ? outcome.retryAfterMilliseconds : 0;
    time.schedule(clock() + pauseOf(policy, wait, random), arrive);
  };
  for (let caller = 0; caller < CALLERS; caller++) {
    time.schedule(random.between(0, WAKE_MILLISECONDS), arrive);
  }
  // The last event is the end of the last answer.
  await time.run();
  const serving = CALLERS / virtualRunners.REQUESTS_PER_MILLISECOND;
  return { refusals: refusals / CALLERS, stretch: clock() / serving };
}

function pauseOf(
  policy: ReturnPolicy,
  waitMilliseconds: number,
  random: common.Random,
): number {
  const jittered = random.between(0.5, 1.5) * CENTRE_MILLISECONDS;
  switch (policy) {
    case ReturnPolicy.Fixed:
      return CENTRE_MILLISECONDS;
    case ReturnPolicy.Jittered:
      return jittered;
    case ReturnPolicy.Paced:
      return Math.max(jittered, waitMilliseconds);
  }
}
