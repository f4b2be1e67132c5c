import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as rateLimitHeader from "./rate_limit_header.ts";
import * as rateLimits from "./rate_limits.ts";

/** Creates the rate limits of an entry that is alone, or is told otherwise. */
export function createRateLimits(
  change: Partial<rateLimits.RateLimitsParameters> = {},
): rateLimits.RateLimits {
  return new rateLimits.RateLimits({
    host: "a",
    entries: () => [],
    entriesKnown: () => true,
    storeReachable: () => true,
    leaving: () => false,
    send: () => false,
    broadcast: () => {},
    logger: new common.RecordingLogger(),
    metrics: common.discardMetrics(),
    ...change,
  });
}

/** Time for which an entry that hears nothing still counts as reachable. */
const REACHABLE_MILLISECONDS = 1_000;
/** Time between two steps of the simulated clock. */
const STEP_MILLISECONDS = 20;
const TICK_MILLISECONDS = 100;

/** One simulated entry. */
interface SimulatedEntry {
  host: string;
  limits: rateLimits.RateLimits;
  logger: common.RecordingLogger;
  /** While frozen, its monotonic clock stands still and it does nothing. */
  frozen: boolean;
  frozenMilliseconds: number;
  storeReachable: boolean;
  leaving: boolean;
  /** Requests a second that its callers send. */
  demand: number;
  /** Fraction of a request that is due. */
  due: number;
  /** When it last heard each other entry, by the simulated clock. */
  heardAt: Map<string, number>;
}

/**
 * Entries with links between them in simulated time, whose callers send
 * requests to one limited runner. Counts what reaches the runner.
 */
export class SimulatedEntries {
  readonly entries = new Map<string, SimulatedEntry>();
  /** Times at which requests reach each runner, by its identifier. */
  readonly arrivals = new Map<string, number[]>();
  /** Pairs of entries without a working link, as "a b" in this order. */
  readonly #cuts = new Set<string>();
  now = 1_000_000;

  /** Adds entries that are linked with all others. */
  add(hosts: string[], demand = 0): void {
    for (const host of hosts) this.#addOne(host, demand);
    for (const host of hosts) this.#greet(host);
  }

  /** An entry by its host. */
  at(host: string): SimulatedEntry {
    const entry = this.entries.get(host);
    if (!entry) throw new Error(`no entry ${host}`);
    return entry;
  }

  /** Ends an entry without a word. */
  kill(host: string): void {
    this.entries.delete(host);
    for (const { limits } of this.entries.values()) limits.onDisconnected(host);
  }

  /** Cuts the links between two sets of entries. */
  cut(some: string[], others: string[]): void {
    for (const one of some) {
      for (const other of others) {
        if (one === other) continue;
        this.#cuts.add(`${one} ${other}`).add(`${other} ${one}`);
      }
    }
  }

  /** Links all entries again. */
  heal(): void {
    this.#cuts.clear();
    for (const host of this.entries.keys()) this.#greet(host);
  }

  /** Has a runner name a limit, or none, in an answer to an entry. */
  name(
    host: string,
    runner: traffic.RunnerEntry,
    value: string | undefined,
    sentBefore = 10,
  ): void {
    const receivedAt = this.#instantOf(host);
    this.at(host).limits.note({
      runner,
      request: "q",
      reading: rateLimitHeader.readRateLimit(value),
      signed: true,
      sentAt: {
        monotonic: receivedAt.monotonic - sentBefore,
        wall: receivedAt.wall - sentBefore,
      },
    });
  }

  /** Lets time pass; the callers of each entry send what they want. */
  async run(
    milliseconds: number,
    runner: traffic.RunnerEntry,
    value: string | undefined,
  ): Promise<void> {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += STEP_MILLISECONDS;
      this.#hear();
      const ticks = this.now % TICK_MILLISECONDS < STEP_MILLISECONDS;
      for (const entry of [...this.entries.values()]) {
        if (entry.frozen) {
          entry.frozenMilliseconds += STEP_MILLISECONDS;
          continue;
        }
        if (ticks) entry.limits.tick();
        await this.#sendDue(entry, runner, value);
      }
    }
  }

  /** Most requests that reached a runner in a window that ends after a time. */
  mostInWindow(
    runner: traffic.RunnerEntry,
    from: number,
    windowMilliseconds = 4_000,
  ): number {
    const times = this.arrivals.get(runner.identifier) ?? [];
    const sizes = times
      .filter((at) => at >= from)
      .map(
        (end) =>
          times.filter((at) => at > end - windowMilliseconds && at <= end)
            .length,
      );
    return Math.max(0, ...sizes);
  }

  /** Requests that reached a runner since a time. */
  countSince(runner: traffic.RunnerEntry, from: number): number {
    const times = this.arrivals.get(runner.identifier) ?? [];
    return times.filter((at) => at >= from).length;
  }

  async #sendDue(
    entry: SimulatedEntry,
    runner: traffic.RunnerEntry,
    value: string | undefined,
  ): Promise<void> {
    entry.due += (entry.demand * STEP_MILLISECONDS) / 1_000;
    while (entry.due >= 1) {
      entry.due -= 1;
      if (entry.limits.waitOf(runner) > 0) continue;
      const admission = await entry.limits.admit(runner, 0);
      if (admission.kind === "denied") continue;
      const times = this.arrivals.get(runner.identifier) ?? [];
      times.push(this.now);
      this.arrivals.set(runner.identifier, times);
      this.name(entry.host, runner, value);
    }
  }

  #addOne(host: string, demand: number): void {
    const logger = new common.RecordingLogger();
    const limits = createRateLimits({
      host,
      entries: () => this.#seenBy(host),
      storeReachable: () => this.at(host).storeReachable,
      leaving: () => this.at(host).leaving,
      send: (to, message) => {
        if (!this.#isLinked(host, to)) return false;
        this.at(to).limits.receive(message, host);
        return true;
      },
      broadcast: (message) => {
        for (const to of this.entries.keys()) {
          if (this.#isLinked(host, to))
            this.at(to).limits.receive(message, host);
        }
      },
      logger,
      instant: () => this.#instantOf(host),
    });
    this.entries.set(host, {
      host,
      limits,
      logger,
      frozen: false,
      frozenMilliseconds: 0,
      storeReachable: true,
      leaving: false,
      demand,
      due: 0,
      heardAt: new Map(),
    });
  }

  /** Exchanges the first messages of new links. */
  #greet(host: string): void {
    this.#hear();
    for (const other of this.entries.keys()) {
      if (!this.#isLinked(host, other)) continue;
      const mine = this.at(host).limits.initialMessage();
      if (mine) this.at(other).limits.receive(mine, host);
      const theirs = this.at(other).limits.initialMessage();
      if (theirs) this.at(host).limits.receive(theirs, other);
    }
  }

  #isLinked(one: string, other: string): boolean {
    if (one === other || this.#cuts.has(`${one} ${other}`)) return false;
    const [from, to] = [this.entries.get(one), this.entries.get(other)];
    return from !== undefined && to !== undefined && !from.frozen && !to.frozen;
  }

  #hear(): void {
    for (const entry of this.entries.values()) {
      for (const other of this.entries.keys()) {
        if (this.#isLinked(entry.host, other))
          entry.heardAt.set(other, this.now);
      }
    }
  }

  #seenBy(host: string): { host: string; reachable: boolean }[] {
    return [...this.at(host).heardAt]
      .filter(([other]) => !this.entries.get(other)?.leaving)
      .map(([other, at]) => ({
        host: other,
        reachable: this.now - at < REACHABLE_MILLISECONDS,
      }));
  }

  #instantOf(host: string): common.Instant {
    const frozen = this.entries.get(host)?.frozenMilliseconds ?? 0;
    return { monotonic: this.now - frozen, wall: this.now };
  }
}
