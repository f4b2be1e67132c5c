import * as common from "@geraniumkeel/common";
import * as serviceQueue from "@geraniumkeel/daemon/admission/service_queue";
import * as surgeReserve from "@geraniumkeel/daemon/admission/surge_reserve";
import * as statistics from "./statistics.ts";
import * as virtualRequest from "./virtual_request.ts";
import * as virtualRunners from "./virtual_runners.ts";
import * as virtualTime from "./virtual_time.ts";

const SEEDS = 10;
const SECOND = 1_000;
const HOUR = 3_600 * SECOND;
const HOURS = 3;
const SURGE_LENGTH = 60 * SECOND;
const QUIET_PER_SECOND = 10;
const SURGE_PER_SECOND = 60;
/** Long answers that nobody waits for; there are always more of them. */
const BACKGROUND_MILLISECONDS = 20 * SECOND;
const BACKGROUND_WAITING = 64;
const BACKGROUND_URGENCY = 6;
/** In tokens; as far from a usual cost as the times that answers take. */
const BACKGROUND_COST = 5_000;

/** When room is kept free of background requests. */
enum ReservePolicy {
  Never = "never",
  Always = "a half, always",
  LearnedQuarter = "a quarter, in learned surges",
  LearnedHalf = "a half, in learned surges",
}

/** Part of the runners that is kept. */
const SHARES: Record<ReservePolicy, number> = {
  [ReservePolicy.Never]: 0,
  [ReservePolicy.Always]: 0.5,
  [ReservePolicy.LearnedQuarter]: 0.25,
  [ReservePolicy.LearnedHalf]: 0.5,
};

interface Figures {
  /** Waits in the surge of the last hour, in milliseconds. */
  surgeMedian: number;
  surge95: number;
  surge99: number;
  /** Background requests answered in the last hour. */
  background: number;
}

/** What callers in the hourly surge wait for behind background requests. */
export async function measureReserve(): Promise<object> {
  const runs = new Map<ReservePolicy, Figures[]>();
  for (const policy of Object.values(ReservePolicy)) {
    const figures: Figures[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      figures.push(await run(policy, seed));
    }
    runs.set(policy, figures);
  }
  const without = runs.get(ReservePolicy.Never) ?? [];
  const policies = [...runs].map(([policy, figures]) => {
    const spread = (one: (figures: Figures) => number) =>
      statistics.spread(figures.map(one));
    const ratios = figures.map(
      ({ background }, index) => background / without[index].background,
    );
    return {
      policy,
      surgeMedian: spread((one) => one.surgeMedian),
      surge95: spread((one) => one.surge95),
      surge99: spread((one) => one.surge99),
      backgroundRatio: statistics.spread(ratios),
    };
  });
  return { seeds: SEEDS, policies };
}

/** Three hours of callers and background requests in virtual time. */
async function run(policy: ReservePolicy, seed: number): Promise<Figures> {
  const random = new common.Random(seed);
  const time = new virtualTime.VirtualTime();
  const { clock } = time;
  const queue = new serviceQueue.ServiceQueue<true>({
    limit: () => 100_000,
    clock,
    reserve: reserveOf(policy, clock),
  });
  const onFree = () => queue.admitWaiting();
  const runners = new virtualRunners.VirtualRunners({ time, random, onFree });
  const waits: number[] = [];
  let background = 0;
  const enter = (
    who: { account: string; urgency?: number; cost?: number },
    served: () => void,
  ): void => {
    const take = (share: number) =>
      runners.take(policy === ReservePolicy.Always ? always(who) : share);
    const outcome = queue.enter(
      virtualRequest.virtualRequest({ ...who, takeRunner: take }),
    );
    if (outcome instanceof Promise) void outcome.then(served);
    else served();
  };
  const arrive = (): void => {
    const arrivedAt = clock();
    const gap = random.exponential(SECOND / ratePerSecond(arrivedAt));
    time.schedule(arrivedAt + gap, arrive);
    const served = () => {
      runners.serve();
      if (inLastSurge(arrivedAt)) waits.push(clock() - arrivedAt);
    };
    enter({ account: "counters" }, served);
  };
  const ask = (): void => {
    const served = () => {
      runners.serve(BACKGROUND_MILLISECONDS);
      if (clock() > (HOURS - 1) * HOUR) background++;
      time.schedule(clock(), ask);
    };
    const urgency = BACKGROUND_URGENCY;
    enter({ account: "reports", urgency, cost: BACKGROUND_COST }, served);
  };
  time.schedule(0, arrive);
  for (let one = 0; one < BACKGROUND_WAITING; one++) time.schedule(0, ask);
  await time.run(HOURS * HOUR);
  return {
    surgeMedian: statistics.quantile(waits, 0.5),
    surge95: statistics.quantile(waits, 0.95),
    surge99: statistics.quantile(waits, 0.99),
    background,
  };
}

function reserveOf(
  policy: ReservePolicy,
  wallClock: () => number,
): surgeReserve.SurgeReserve | undefined {
  if (policy === ReservePolicy.Always) return undefined;
  const reservedShare = () => SHARES[policy];
  return new surgeReserve.SurgeReserve({ reservedShare, wallClock });
}

function always({ urgency }: { urgency?: number }): number {
  if (urgency === undefined) return 1;
  return 1 - SHARES[ReservePolicy.Always];
}

function ratePerSecond(at: number): number {
  return at % HOUR < SURGE_LENGTH ? SURGE_PER_SECOND : QUIET_PER_SECOND;
}

function inLastSurge(at: number): boolean {
  return at >= (HOURS - 1) * HOUR && at < (HOURS - 1) * HOUR + SURGE_LENGTH;
}
