import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as chooseRunner from "./choose_runner.ts";
import * as departedIncarnations from "./departed_incarnations.ts";
import * as outstandingElsewhere from "./outstanding_elsewhere.ts";

/** How a call went, as far as it tells of the runner. */
export enum CallOutcome {
  Success = "good",
  /** It had no room, or the caller left: nothing is wrong with it. */
  Neutral = "neutral",
  /** It failed, broke off or was slow beyond reason. */
  Failure = "bad",
}

/**
 * Weight of the newest answer in a runner's share of failures. A runner that
 * fails two in five is seen after four or five answers.
 */
const NEWEST_ANSWER_WEIGHT = 0.2;
/** How long a runner without an answer is spared, in milliseconds. */
const SUSPENSION_MILLISECONDS = 700;
/** Time in which the share of failures halves without answers. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_000;

/**
 * Silence of a runner with requests under way after which it counts as stalled.
 * All ranks of a group make passes together, 25 to 100 ms each, and with every
 * pass some request there gets its next event; when one rank is lost all stand
 * still and say nothing for one to two seconds.
 */
const STALL_TIMEOUT_MILLISECONDS = 600;

/**
 * Time for which a runner that turned a request away, although it had room, gets
 * none, in milliseconds. Its group has lost a rank and is being formed anew, for
 * half a second and more, and turns away whatever it is sent.
 */
const REFUSAL_PAUSE_MILLISECONDS = 250;
/**
 * Time between two requests sent to see whether a service takes work again while
 * all its runners are closed. Each that is turned away counts against the repeats
 * allowed; an entry sends ten a second, whatever number of requests wait.
 */
const PROBE_INTERVAL_MILLISECONDS = 100;

/** What is known of one runner. */
class RunnerRecord {
  own = 0;
  /** When anything was last heard of a request there, or the first one was sent. */
  progressAt = 0;
  /** When anything was last heard of a request there. */
  lastReceivedAt = -Infinity;
  failureShare = 0;
  failureShareUpdatedAt = 0;
  suspendedUntil = 0;
  /** It turned a request away with room to spare, and took none since. */
  refusing = false;
  avoidUntil = 0;

  constructor(public entry: traffic.RunnerEntry) {}

  /** Whether requests are under way and none of them gets on. */
  isStalled(now: number): boolean {
    return this.own > 0 && now - this.progressAt > STALL_TIMEOUT_MILLISECONDS;
  }

  /** Whether it is to get no new work for the moment. */
  isSuspended(now: number): boolean {
    return this.suspendedUntil > now || this.isStalled(now);
  }

  /** Whether nothing was heard from it for as long as a stall takes to show. */
  isUnresponsive(now: number): boolean {
    return now - this.lastReceivedAt > STALL_TIMEOUT_MILLISECONDS;
  }

  /** Part of its answers that failed; forgotten by and by. */
  currentFailureShare(now: number): number {
    const halvings =
      (now - this.failureShareUpdatedAt) / FAILURE_HALF_LIFE_MILLISECONDS;
    return this.failureShare * 0.5 ** halvings;
  }
}

/** One runner, as operators see it. */
export interface TrackedRunner {
  identifier: string;
  service: string;
  dataCentre: string;
  leaving: boolean;
  /** Requests under way from this entry, and from all. */
  own: number;
  outstanding: number;
  /** Part of its latest answers that failed, 0 to 1. */
  failureShare: number;
  /** It gets no new work for the moment. */
  spared: boolean;
}

/** All runners that take requests, with the load and soundness of each. */
export class RunnerTracker {
  readonly #records = new Map<string, RunnerRecord>();
  /** Listed runners that are gone from their addresses, each life of them. */
  #replacedIncarnations = new Set<string>();
  readonly #departed = new departedIncarnations.DepartedIncarnations();
  readonly #otherEntries = new outstandingElsewhere.OutstandingElsewhere();
  /** When the next request may be sent to a service that is closed. */
  readonly #nextProbeAt = new Map<string, number>();
  /** Announces that some runner may take work that did not before. */
  readonly availabilityChanged = new common.ChangeNotice();

  constructor(
    readonly parameters: {
      dataCentre: string;
      random: common.Random;
      /** Whether the runners of a service advance in lock-step, in groups. */
      inLockStep: (service: string) => boolean;
    },
  ) {}

  /** Takes a new list; runners that are not in it get nothing more. */
  update(list: traffic.RunnerList): void {
    const listed = new Set<string>();
    const stillListed = new Set<string>();
    for (const entry of this.#departed.apply(list.runners)) {
      if (this.#replacedIncarnations.has(traffic.lifeOf(entry))) {
        stillListed.add(traffic.lifeOf(entry));
        continue;
      }
      listed.add(entry.identifier);
      const record = this.#records.get(entry.identifier);
      // One that started anew has none of the faults and requests of before.
      if (record?.entry.bornAt === entry.bornAt) record.entry = entry;
      else this.#records.set(entry.identifier, new RunnerRecord(entry));
    }
    this.#replacedIncarnations = stillListed;
    this.availabilityChanged.announce();
    for (const identifier of this.#records.keys()) {
      if (!listed.has(identifier)) this.#records.delete(identifier);
    }
  }

  /** Takes the counts of another entry; `undefined` when it is gone. */
  setCountsOf(host: string, counts: Map<string, number> | undefined): void {
    this.#otherEntries.setCountsOf(host, counts);
  }

  /** Requests under way from this entry, by runner; only runners with any. */
  ownCounts(): [string, number][] {
    const counts: [string, number][] = [];
    for (const [identifier, { own }] of this.#records) {
      if (own > 0) counts.push([identifier, own]);
    }
    return counts;
  }

  /** Runners of a service that take requests. */
  candidates(
    service: string,
    tried: ReadonlySet<string>,
  ): chooseRunner.RunnerView[] {
    const now = common.now();
    const groupStalled = this.#isGroupStalled(service, now);
    const views: chooseRunner.RunnerView[] = [];
    for (const [identifier, record] of this.#records) {
      const { entry } = record;
      if (entry.service !== service || entry.leaving) continue;
      if (tried.has(identifier)) continue;
      if (record.refusing && now < record.avoidUntil) continue;
      views.push({
        identifier,
        outstanding: record.own + this.#otherEntries.countAt(identifier),
        slots: entry.slots,
        sameDataCentre: entry.dataCentre === this.parameters.dataCentre,
        failureShare: record.currentFailureShare(now),
        suspended:
          record.isSuspended(now) ||
          (groupStalled && record.isUnresponsive(now)),
      });
    }
    return views;
  }

  /**
   * Whether a runner whose ranks advance in lock-step with others' has stalled: all of
   * its group have. One without requests from here does not show it, and looked like
   * the way out: when a group stood still for 0.9 s, streams were given up at all its
   * runners and went to the one whose host was frozen, where they were never answered.
   */
  #isGroupStalled(service: string, now: number): boolean {
    if (!this.parameters.inLockStep(service)) return false;
    for (const record of this.#records.values()) {
      if (record.entry.service === service && record.isStalled(now))
        return true;
    }
    return false;
  }

  /** The runner for a request, or `undefined` if there is none left to try. */
  choose(
    service: string,
    tried: ReadonlySet<string>,
  ): traffic.RunnerEntry | undefined {
    const views = this.candidates(service, tried);
    const chosen = chooseRunner.chooseRunner(views, this.parameters.random);
    const record = chosen && this.#records.get(chosen.identifier);
    if (!record) return undefined;
    if (record.refusing && !this.#startProbe(record)) return undefined;
    return record.entry;
  }

  /** Whether this life of a runner is listed, and not as leaving. */
  inUse(runner: traffic.RunnerEntry): boolean {
    const entry = this.#records.get(runner.identifier)?.entry;
    if (!entry || entry.leaving) return false;
    return traffic.lifeOf(entry) === traffic.lifeOf(runner);
  }

  /** Versions of the runners of a service that take requests. */
  versionsOf(service: string): Set<string> {
    const versions = new Set<string>();
    for (const { entry } of this.#records.values()) {
      if (entry.service === service && !entry.leaving) {
        versions.add(entry.version);
      }
    }
    return versions;
  }

  /** Whether some runner of a service turns away what it has room for. */
  hasRefusing(service: string): boolean {
    for (const { entry, refusing: closed } of this.#records.values()) {
      if (closed && entry.service === service && !entry.leaving) return true;
    }
    return false;
  }

  /** A runner turned a request away. */
  noteRefusal(identifier: string): void {
    const record = this.#records.get(identifier);
    if (!record) return;
    const load = record.own + this.#otherEntries.countAt(identifier);
    if (load > record.entry.slots) return;
    record.refusing = true;
    record.avoidUntil = common.now() + REFUSAL_PAUSE_MILLISECONDS;
  }

  /** One request is sent to see whether a closed runner takes work again. */
  #startProbe(record: RunnerRecord): boolean {
    const now = common.now();
    const { service } = record.entry;
    if (now < (this.#nextProbeAt.get(service) ?? 0)) return false;
    this.#nextProbeAt.set(service, now + PROBE_INTERVAL_MILLISECONDS);
    record.avoidUntil = now + REFUSAL_PAUSE_MILLISECONDS;
    return true;
  }

  /** Notes a call to a runner; the returned function notes its end. */
  startCall(identifier: string): (outcome: CallOutcome) => void {
    const record = this.#records.get(identifier);
    if (!record) return () => {};
    if (record.own === 0) record.progressAt = common.now();
    record.own++;
    return (outcome) => {
      record.own--;
      this.#recordOutcome(record, outcome);
    };
  }

  /** Something was heard of a request at a runner. */
  noteProgress(identifier: string): void {
    const record = this.#records.get(identifier);
    if (!record) return;
    record.progressAt = common.now();
    record.lastReceivedAt = record.progressAt;
    if (!record.refusing) return;
    this.#endRefusal(record);
    this.availabilityChanged.announce();
  }

  /**
   * Takes a runner that gets on for open again, and with it all that advance in
   * lock-step with it. A group takes work as a whole; found out rank by rank, with a
   * request each tenth of a second, each entry left most of twelve ranks alone for
   * another second while the backlog of an outage waited. One of another group that is
   * not formed yet turns the next request away, and is closed again.
   */
  #endRefusal(accepting: RunnerRecord): void {
    const { service } = accepting.entry;
    accepting.refusing = false;
    if (!this.parameters.inLockStep(service)) return;
    for (const record of this.#records.values()) {
      if (record.entry.service === service) record.refusing = false;
    }
  }

  /** Whether requests are under way at a runner and none of them gets on. */
  isStalled(identifier: string): boolean {
    return this.#records.get(identifier)?.isStalled(common.now()) ?? false;
  }

  /** Whether nothing has come from a runner lately. */
  isUnresponsive(identifier: string): boolean {
    return this.#records.get(identifier)?.isUnresponsive(common.now()) ?? true;
  }

  /** A runner at which nothing progresses gets no new work for a while. */
  suspend(identifier: string): void {
    const record = this.#records.get(identifier);
    if (record) record.suspendedUntil = common.now() + SUSPENSION_MILLISECONDS;
  }

  /**
   * Another runner answers at the address of this one. It may stay listed for
   * seconds, and gets no more for as long.
   */
  removeReplaced(runner: traffic.RunnerEntry): void {
    this.#replacedIncarnations.add(traffic.lifeOf(runner));
    const record = this.#records.get(runner.identifier);
    if (record && traffic.lifeOf(record.entry) === traffic.lifeOf(runner)) {
      this.#records.delete(runner.identifier);
    }
  }

  /** All runners, for operators. */
  runners(): TrackedRunner[] {
    const now = common.now();
    return [...this.#records].map(([identifier, record]) => ({
      identifier,
      service: record.entry.service,
      dataCentre: record.entry.dataCentre,
      leaving: record.entry.leaving,
      own: record.own,
      outstanding: record.own + this.#otherEntries.countAt(identifier),
      failureShare: record.currentFailureShare(now),
      spared: record.isSuspended(now),
    }));
  }

  #recordOutcome(record: RunnerRecord, outcome: CallOutcome): void {
    if (outcome === CallOutcome.Neutral) return;
    const now = common.now();
    const failed = outcome === CallOutcome.Failure ? 1 : 0;
    const previousShare = record.currentFailureShare(now);
    record.failureShare =
      previousShare + NEWEST_ANSWER_WEIGHT * (failed - previousShare);
    record.failureShareUpdatedAt = now;
  }
}
