import * as common from "@geraniumkeel/common";
import * as creditBucket from "@geraniumkeel/daemon/admission/credit_bucket";
import * as serviceQueue from "@geraniumkeel/daemon/admission/service_queue";
import * as statistics from "./statistics.ts";
import * as virtualRequest from "./virtual_request.ts";
import * as virtualRunners from "./virtual_runners.ts";
import * as virtualTime from "./virtual_time.ts";

const SEEDS = 10;
const ACCOUNTS = 10;
const ENTRIES = 7;
const LENGTH_MILLISECONDS = 60_000;
const SMALL_PER_SECOND = 8;
const LIMIT_PER_SECOND = 12;
const GREEDY_FACTOR = 10;
/** Time within which an answer is of use, in milliseconds. */
const DEADLINE_MILLISECONDS = 2_000;

/** Ways to admit requests. */
enum AdmissionPolicy {
  NoLimit = "no limit, first come",
  LocalLimits = "limits at each entry alone, first come",
  GlobalFair = "global limits, fair queue",
}

interface Figures {
  /** 99th percentile of the small accounts' waits, in milliseconds. */
  wait99: number;
  answered: number;
  greedyShare: number;
  /** Part of the small accounts' requests answered by their deadline. */
  inTime: number;
  /** Jain's index of that part over the small accounts: 1 is even. */
  fairness: number;
}

/**
 * One account sends ten times its limit. What do the others notice, beside a run
 * in which it keeps to its limit?
 */
export async function measureAdmission(): Promise<Record<string, unknown>> {
  const result: Record<string, unknown> = {};
  for (const policy of Object.values(AdmissionPolicy)) {
    const ratios: number[] = [];
    const added: number[] = [];
    const shares: number[] = [];
    const inTime: number[] = [];
    const fairness: number[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      const calm = await run(policy, 1, seed);
      const greedy = await run(policy, GREEDY_FACTOR, seed);
      const service = virtualRunners.SERVICE_MILLISECONDS;
      ratios.push((service + greedy.wait99) / (service + calm.wait99));
      added.push(greedy.wait99 - calm.wait99);
      shares.push(greedy.greedyShare);
      inTime.push(greedy.inTime);
      fairness.push(greedy.fairness);
    }
    result[policy] = {
      others99Ratio: statistics.spread(ratios),
      others99AddedMilliseconds: statistics.spread(added),
      greedyAnsweredOverLimit: statistics.spread(shares),
      othersInTime: statistics.spread(inTime),
      fairnessAmongOthers: statistics.spread(fairness),
    };
  }
  return { seeds: SEEDS, accounts: ACCOUNTS, policies: result };
}

/** Requests, queue and runners in virtual time. */
async function run(
  policy: AdmissionPolicy,
  factor: number,
  seed: number,
): Promise<Figures> {
  const random = new common.Random(seed);
  const time = new virtualTime.VirtualTime();
  const { clock } = time;
  const isAdmitted = limiter(policy, clock, random);
  const fair = policy === AdmissionPolicy.GlobalFair;
  const limit = () => 100_000;
  const queue = new serviceQueue.ServiceQueue<true>({ limit, clock });
  const onFree = () => queue.admitWaiting();
  const runners = new virtualRunners.VirtualRunners({ time, random, onFree });
  const waits: number[] = [];
  let answeredGreedy = 0;
  const asked = new Array<number>(ACCOUNTS).fill(0);
  const answeredInTime = new Array<number>(ACCOUNTS).fill(0);
  const arrive = (account: number): void => {
    const gap = random.exponential(1_000 / ratePerSecond(account, factor));
    time.schedule(clock() + gap, () => arrive(account));
    if (account === 0 && !isAdmitted()) return;
    const arrivedAt = clock();
    asked[account]++;
    const who = fair ? String(account) : "all";
    const { take } = runners;
    const outcome = queue.enter(
      virtualRequest.virtualRequest({ account: who, takeRunner: take }),
    );
    const served = () => {
      const late = runners.serve() - arrivedAt > DEADLINE_MILLISECONDS;
      if (!late) answeredInTime[account]++;
      if (account === 0) answeredGreedy++;
      else waits.push(clock() - arrivedAt);
    };
    if (outcome instanceof Promise) void outcome.then(served);
    else served();
  };
  for (let account = 0; account < ACCOUNTS; account++) {
    const first = random.exponential(1_000 / ratePerSecond(account, factor));
    time.schedule(first, () => arrive(account));
  }
  await time.run(LENGTH_MILLISECONDS);
  const parts = asked
    .map((count, account) => answeredInTime[account] / Math.max(1, count))
    .slice(1);
  const allowed = (LIMIT_PER_SECOND * LENGTH_MILLISECONDS) / 1_000;
  return {
    wait99: statistics.quantile(waits, 0.99),
    answered: waits.length,
    greedyShare: answeredGreedy / allowed,
    inTime: statistics.mean(parts),
    fairness: statistics.jainIndex(parts),
  };
}

/** Whether the limit of the large account lets one more request through. */
function limiter(
  policy: AdmissionPolicy,
  clock: () => number,
  random: common.Random,
): () => boolean {
  const one = { requests: 1, tokens: 1 };
  const rate = () => ({
    requests: LIMIT_PER_SECOND,
    tokens: 1e12,
    burstSeconds: 2,
  });
  const newBucket = () => new creditBucket.CreditBucket(rate, clock);
  switch (policy) {
    case AdmissionPolicy.NoLimit:
      return () => true;
    case AdmissionPolicy.LocalLimits: {
      const local = Array.from({ length: ENTRIES }, newBucket);
      return () => "granted" in random.pick(local).take(one, one);
    }
    case AdmissionPolicy.GlobalFair: {
      const global = newBucket();
      return () => "granted" in global.take(one, one);
    }
  }
}

function ratePerSecond(account: number, factor: number): number {
  return account === 0 ? LIMIT_PER_SECOND * factor : SMALL_PER_SECOND;
}
