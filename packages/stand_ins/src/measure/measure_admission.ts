import * as common from "@geraniumkeel/common";
import * as creditBucket from "@geraniumkeel/daemon/admission/credit_bucket";
import * as serviceQueue from "@geraniumkeel/daemon/admission/service_queue";
import * as statistics from "./statistics.ts";
import * as virtualRunners from "./virtual_runners.ts";

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
  let now = 0;
  const clock = () => now;
  const rate = (share: number) => () => ({
    requests: LIMIT_PER_SECOND * share,
    tokens: 1e12,
    burstSeconds: 2,
  });
  const global = new creditBucket.CreditBucket(rate(1), clock);
  const local = Array.from(
    { length: ENTRIES },
    () => new creditBucket.CreditBucket(rate(1), clock),
  );
  const fair = policy === AdmissionPolicy.GlobalFair;
  const queue = new serviceQueue.ServiceQueue<true>({
    limit: () => 100_000,
    clock,
  });
  const runners = new virtualRunners.VirtualRunners();
  const waits: number[] = [];
  let answeredGreedy = 0;
  const asked = new Array<number>(ACCOUNTS).fill(0);
  const answeredInTime = new Array<number>(ACCOUNTS).fill(0);
  const arrive = (account: number): void => {
    if (account === 0 && !admitted(account)) return;
    const arrivedAt = now;
    asked[account]++;
    const outcome = queue.enter({
      account: fair ? String(account) : "all",
      weight: 1,
      cost: 100,
      urgency: 3,
      deadline: Infinity,
      signal: new AbortController().signal,
      take: runners.take,
    });
    const served = () => {
      const end = runners.serve(now, random);
      const late = end - arrivedAt > DEADLINE_MILLISECONDS;
      if (!late) answeredInTime[account]++;
      if (account === 0) answeredGreedy++;
      else waits.push(now - arrivedAt);
    };
    if (outcome instanceof Promise) void outcome.then(served);
    else served();
  };
  const admitted = (account: number): boolean => {
    const one = { requests: 1, tokens: 1 };
    if (account !== 0) return true;
    switch (policy) {
      case AdmissionPolicy.NoLimit:
        return true;
      case AdmissionPolicy.LocalLimits:
        return "granted" in local[random.below(ENTRIES)].take(one, one);
      case AdmissionPolicy.GlobalFair:
        return "granted" in global.take(one, one);
    }
  };
  const next = Array.from({ length: ACCOUNTS }, (_, account) =>
    random.exponential(1_000 / ratePerSecond(account, factor)),
  );
  while (now < LENGTH_MILLISECONDS) {
    const account = next.indexOf(Math.min(...next));
    const end = runners.nextEnd;
    if (end <= next[account]) {
      now = end;
      runners.endNext();
      queue.pump();
      // Outcomes of the queue are promises; let them settle at this time.
      await Promise.resolve();
      await Promise.resolve();
      continue;
    }
    now = next[account];
    arrive(account);
    next[account] += random.exponential(1_000 / ratePerSecond(account, factor));
  }
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

function ratePerSecond(account: number, factor: number): number {
  return account === 0 ? LIMIT_PER_SECOND * factor : SMALL_PER_SECOND;
}
