import * as common from "@geraniumkeel/common";
import * as serviceQueue from "@geraniumkeel/daemon/admission/service_queue";
import * as statistics from "./statistics.ts";
import * as virtualRunners from "./virtual_runners.ts";

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
  let now = 0;
  const clock = () => now;
  const limit = () => QUEUE_LIMIT;
  const queue = new serviceQueue.ServiceQueue<true>({ limit, clock });
  const arrivals = Array.from({ length: CALLERS }, () =>
    random.between(0, WAKE_MILLISECONDS),
  );
  const runners = new virtualRunners.VirtualRunners();
  let answered = 0;
  let refusals = 0;
  const served = () => {
    runners.serve(now, random);
    answered++;
  };
  const pauseOf = (waitMilliseconds: number): number => {
    const jittered = random.between(0.5, 1.5) * CENTRE_MILLISECONDS;
    switch (policy) {
      case ReturnPolicy.Fixed:
        return CENTRE_MILLISECONDS;
      case ReturnPolicy.Jittered:
        return jittered;
      case ReturnPolicy.Paced:
        return Math.max(jittered, waitMilliseconds);
    }
  };
  const arrive = async () => {
    const outcome = queue.enter({
      account: "all",
      weight: 1,
      cost: 100,
      urgency: 3,
      deadline: Infinity,
      signal: new AbortController().signal,
      take: runners.take,
    });
    if (outcome instanceof Promise) return void outcome.then(served);
    if (outcome.kind === "admitted") return served();
    refusals++;
    const wait = outcome.kind === "full" ? outcome.waitMilliseconds : 0;
    arrivals.push(now + pauseOf(wait));
  };
  while (answered < CALLERS || runners.nextEnd < Infinity) {
    const arrival = Math.min(...arrivals);
    const end = runners.nextEnd;
    now = Math.min(arrival, end);
    if (end <= arrival) {
      runners.endNext();
      queue.pump();
    } else {
      arrivals.splice(arrivals.indexOf(arrival), 1);
      await arrive();
    }
    // Outcomes of the queue are promises; let them settle at this time.
    await Promise.resolve();
    await Promise.resolve();
  }
  const serving = CALLERS / virtualRunners.REQUESTS_PER_MILLISECOND;
  return { refusals: refusals / CALLERS, stretch: now / serving };
}
