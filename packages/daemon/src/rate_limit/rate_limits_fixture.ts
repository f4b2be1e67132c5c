import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as rateLimitHeader from "./rate_limit_header.ts";
import type * as rateLimitPermit from "./rate_limit_permit.ts";
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
    warmUpRateOf: () => 0,
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

/** Wait after a question that nobody answers, as the rate limits have it. */
const UNANSWERED_WAIT_MILLISECONDS = 300;

/** A request that is sent later than its permit was given. */
interface LateRequest {
  entry: SimulatedEntry;
  runner: traffic.RunnerEntry;
  permit: rateLimitPermit.RateLimitPermit;
  sendAt: number;
}

/** One simulated entry. */
interface SimulatedEntry {
  host: string;
  limits: rateLimits.RateLimits;
  logger: common.RecordingLogger;
  /** While frozen, its monotonic clock stands still and it does nothing. */
  frozen: boolean;
  frozenMilliseconds: number;
  /** By how much its time of day was set forward, or back if it is negative. */
  setForwardBy: number;
  instants: common.InstantSource;
  storeReachable: boolean;
  leaving: boolean;
  /** Requests a second that its callers send. */
  demand: number;
  /** Fraction of a request that is due. */
  due: number;
  /** Number of requests that were due. */
  turn: number;
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
  /** Requests a second to a runner that warms up; 0 for no bound. */
  warmUpRate = 0;
  /** Longest time that requests wait for their turn. */
  maxDelayMilliseconds = 0;
  /** Time from when a request may be sent until it reaches the runner. */
  lateness: () => number = () => 0;
  #late: LateRequest[] = [];

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

  /** Gives entries, all of them if none are named, a list of runners. */
  list(
    runners: traffic.RunnerEntry[],
    hosts: string[] = [...this.entries.keys()],
  ): void {
    for (const host of hosts)
      this.at(host).limits.retain({ version: 1, runners });
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

  /**
   * Lets time pass; the callers of each entry send what they want, to the runners
   * by turns, or to the next one if a runner has no room.
   */
  async run(
    milliseconds: number,
    runners: traffic.RunnerEntry | traffic.RunnerEntry[],
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
        await this.#sendDue(entry, [runners].flat(), value);
      }
      this.#sendLate(value);
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
    runners: traffic.RunnerEntry[],
    value: string | undefined,
  ): Promise<void> {
    entry.due += (entry.demand * STEP_MILLISECONDS) / 1_000;
    while (entry.due >= 1) {
      entry.due -= 1;
      entry.turn++;
      for (const place of runners.keys()) {
        const runner = runners[(entry.turn + place) % runners.length];
        if (await this.#sendOne(entry, runner, value)) break;
      }
    }
  }

  /** Sends a request if its runner has room; returns whether it has. */
  async #sendOne(
    entry: SimulatedEntry,
    runner: traffic.RunnerEntry,
    value: string | undefined,
  ): Promise<boolean> {
    const { limits, host } = entry;
    if (limits.waitOf(runner) > this.maxDelayMilliseconds) return false;
    const admission = await limits.admit(runner, this.maxDelayMilliseconds);
    if (admission.kind === "denied") return false;
    const { permit } = admission;
    const remaining = permit.remainingMilliseconds(this.#instantOf(host));
    const delay = remaining + this.lateness();
    if (delay === 0) this.#arrive(entry, runner, value);
    else this.#late.push({ entry, runner, permit, sendAt: this.now + delay });
    return true;
  }

  /** Sends what is due and was late, unless its permit has expired. */
  #sendLate(value: string | undefined): void {
    const isDue = ({ entry, sendAt }: LateRequest) =>
      !entry.frozen && sendAt <= this.now;
    const due = this.#late.filter(isDue);
    if (due.length === 0) return;
    this.#late = this.#late.filter((one) => !isDue(one));
    for (const { entry, runner, permit } of due) {
      if (this.entries.get(entry.host) !== entry) continue;
      if (permit.isExpired(this.#instantOf(entry.host))) continue;
      this.#arrive(entry, runner, value);
    }
  }

  #arrive(
    { host }: SimulatedEntry,
    runner: traffic.RunnerEntry,
    value: string | undefined,
  ): void {
    const times = this.arrivals.get(runner.identifier) ?? [];
    times.push(this.now);
    this.arrivals.set(runner.identifier, times);
    this.name(host, runner, value);
  }

  #addOne(host: string, demand: number): void {
    const logger = new common.RecordingLogger();
    const limits = createRateLimits({
      host,
      entries: () => this.#seenBy(host),
      storeReachable: () => this.at(host).storeReachable,
      leaving: () => this.at(host).leaving,
      send: (to, message) => {
        if (!this.#isLinked(host, to)) {
          this.#leaveUnanswered(host, message);
          return false;
        }
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
      warmUpRateOf: () => this.warmUpRate,
    });
    this.entries.set(host, {
      host,
      limits,
      logger,
      frozen: false,
      frozenMilliseconds: 0,
      setForwardBy: 0,
      instants: this.#instantsOf(host),
      storeReachable: true,
      leaving: false,
      demand,
      due: 0,
      turn: 0,
      heardAt: new Map(),
    });
  }

  /** Has a question end as after its time-out, without a wait in real time. */
  #leaveUnanswered(host: string, message: wire.Message): void {
    if (message.kind !== wire.MessageKind.RateLimitRequest) return;
    const { question } = message;
    this.at(host).limits.receive(
      {
        kind: wire.MessageKind.RateLimitAnswer,
        question,
        delay: -1,
        wait: UNANSWERED_WAIT_MILLISECONDS,
      },
      host,
    );
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

  /** The clocks of an entry; freezing is a suspension of its machine. */
  #instantsOf(host: string): common.InstantSource {
    const frozen = () => this.entries.get(host)?.frozenMilliseconds ?? 0;
    const setForwardBy = () => this.entries.get(host)?.setForwardBy ?? 0;
    return new common.InstantSource({
      monotonic: () => this.now - frozen(),
      timeOfDay: () => this.now + setForwardBy(),
      uptime: () => this.now,
    });
  }

  #instantOf(host: string): common.Instant {
    return this.at(host).instants.now();
  }
}
