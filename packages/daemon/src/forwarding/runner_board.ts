import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as chooseRunner from "./choose_runner.ts";
import * as leftLives from "./left_lives.ts";
import * as outstandingElsewhere from "./outstanding_elsewhere.ts";

/** How a call went, as far as it tells of the runner. */
export enum CallEnd {
  Good = "good",
  /** It had no room, or the caller left: nothing is wrong with it. */
  Neutral = "neutral",
  /** It failed, broke off or was slow beyond reason. */
  Bad = "bad",
}

/**
 * Weight of the newest answer in a runner's share of failures. A runner that
 * fails two in five is seen after four or five answers.
 */
const NEWEST_WEIGHT = 0.2;
/** How long a runner without an answer is spared, in milliseconds. */
const SPARED_MILLISECONDS = 700;
/** Time in which the share of failures halves without answers. */
const FORGIVENESS_MILLISECONDS = 2_000;

/**
 * Silence of a runner with requests under way after which it counts as stalled.
 * All ranks of a group make passes together, 25 to 100 ms each, and with every
 * pass some request there gets its next event; when one rank is lost all stand
 * still and say nothing for one to two seconds.
 */
const STALLED_MILLISECONDS = 600;

/**
 * Time for which a runner that turned a request away, although it had room, gets
 * none, in milliseconds. Its group has lost a rank and is being formed anew, for
 * half a second and more, and turns away whatever it is sent.
 */
const CLOSED_MILLISECONDS = 250;
/**
 * Time between two requests sent to see whether a service takes work again while
 * all its runners are closed. Each that is turned away counts against the repeats
 * allowed; an entry sends ten a second, whatever number of requests wait.
 */
const PROBE_MILLISECONDS = 100;

/** What is known of one runner. */
class RunnerRecord {
  own = 0;
  /** When anything was last heard of a request there, or the first one was sent. */
  progressAt = 0;
  /** When anything was last heard of a request there. */
  heardAt = -Infinity;
  failureShare = 0;
  failureSeenAt = 0;
  sparedUntil = 0;
  /** It turned a request away with room to spare, and took none since. */
  closed = false;
  closedUntil = 0;

  constructor(public entry: traffic.RunnerEntry) {}

  /** Whether requests are under way and none of them gets on. */
  stalled(now: number): boolean {
    return this.own > 0 && now - this.progressAt > STALLED_MILLISECONDS;
  }

  /** Whether it is to get no new work for the moment. */
  isSpared(now: number): boolean {
    return this.sparedUntil > now || this.stalled(now);
  }

  /** Whether nothing was heard from it for as long as a stall takes to show. */
  isSilent(now: number): boolean {
    return now - this.heardAt > STALLED_MILLISECONDS;
  }

  /** Part of its answers that failed; forgotten by and by. */
  currentFailureShare(now: number): number {
    const halvings = (now - this.failureSeenAt) / FORGIVENESS_MILLISECONDS;
    return this.failureShare * 0.5 ** halvings;
  }
}

/** One runner, as operators see it. */
export interface BoardRunner {
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
export class RunnerBoard {
  readonly #records = new Map<string, RunnerRecord>();
  /** Listed runners that are gone from their addresses, each life of them. */
  #disproved = new Set<string>();
  readonly #left = new leftLives.LeftLives();
  readonly #others = new outstandingElsewhere.OutstandingElsewhere();
  /** When the next request may be sent to a service that is closed. */
  readonly #nextProbeAt = new Map<string, number>();
  /** Announces that some runner may take work that did not before. */
  readonly opened = new common.ChangeNotice();

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
    const disproved = new Set<string>();
    for (const entry of this.#left.apply(list.runners)) {
      if (this.#disproved.has(traffic.incarnationOf(entry))) {
        disproved.add(traffic.incarnationOf(entry));
        continue;
      }
      listed.add(entry.identifier);
      const record = this.#records.get(entry.identifier);
      // One that started anew has none of the faults and requests of before.
      if (record?.entry.bornAt === entry.bornAt) record.entry = entry;
      else this.#records.set(entry.identifier, new RunnerRecord(entry));
    }
    this.#disproved = disproved;
    this.opened.announce();
    for (const identifier of this.#records.keys()) {
      if (!listed.has(identifier)) this.#records.delete(identifier);
    }
  }

  /** Takes the counts of another entry; `undefined` when it is gone. */
  setOthers(host: string, counts: Map<string, number> | undefined): void {
    this.#others.set(host, counts);
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
    const inDoubt = this.#standsStill(service, now);
    const views: chooseRunner.RunnerView[] = [];
    for (const [identifier, record] of this.#records) {
      const { entry } = record;
      if (entry.service !== service || entry.leaving) continue;
      if (tried.has(identifier)) continue;
      if (record.closed && now < record.closedUntil) continue;
      views.push({
        identifier,
        outstanding: record.own + this.#others.at(identifier),
        slots: entry.slots,
        sameDataCentre: entry.dataCentre === this.parameters.dataCentre,
        failureShare: record.currentFailureShare(now),
        spared: record.isSpared(now) || (inDoubt && record.isSilent(now)),
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
  #standsStill(service: string, now: number): boolean {
    if (!this.parameters.inLockStep(service)) return false;
    for (const record of this.#records.values()) {
      if (record.entry.service === service && record.stalled(now)) return true;
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
    if (record.closed && !this.#mayProbe(record)) return undefined;
    return record.entry;
  }

  /** Whether this life of a runner is listed, and not as leaving. */
  inUse(runner: traffic.RunnerEntry): boolean {
    const entry = this.#records.get(runner.identifier)?.entry;
    if (!entry || entry.leaving) return false;
    return traffic.incarnationOf(entry) === traffic.incarnationOf(runner);
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
  hasClosed(service: string): boolean {
    for (const { entry, closed } of this.#records.values()) {
      if (closed && entry.service === service && !entry.leaving) return true;
    }
    return false;
  }

  /** A runner turned a request away. */
  turnedAway(identifier: string): void {
    const record = this.#records.get(identifier);
    if (!record) return;
    const load = record.own + this.#others.at(identifier);
    if (load > record.entry.slots) return;
    record.closed = true;
    record.closedUntil = common.now() + CLOSED_MILLISECONDS;
  }

  /** One request is sent to see whether a closed runner takes work again. */
  #mayProbe(record: RunnerRecord): boolean {
    const now = common.now();
    const { service } = record.entry;
    if (now < (this.#nextProbeAt.get(service) ?? 0)) return false;
    this.#nextProbeAt.set(service, now + PROBE_MILLISECONDS);
    record.closedUntil = now + CLOSED_MILLISECONDS;
    return true;
  }

  /** Notes a call to a runner; the returned function notes its end. */
  begin(identifier: string): (end: CallEnd) => void {
    const record = this.#records.get(identifier);
    if (!record) return () => {};
    if (record.own === 0) record.progressAt = common.now();
    record.own++;
    return (end) => {
      record.own--;
      this.#note(record, end);
    };
  }

  /** Something was heard of a request at a runner. */
  progress(identifier: string): void {
    const record = this.#records.get(identifier);
    if (!record) return;
    record.progressAt = common.now();
    record.heardAt = record.progressAt;
    if (!record.closed) return;
    this.#reopen(record);
    this.opened.announce();
  }

  /**
   * Takes a runner that gets on for open again, and with it all that advance in
   * lock-step with it. A group takes work as a whole; found out rank by rank, with a
   * request each tenth of a second, each entry left most of twelve ranks alone for
   * another second while the backlog of an outage waited. One of another group that is
   * not formed yet turns the next request away, and is closed again.
   */
  #reopen(reopened: RunnerRecord): void {
    const { service } = reopened.entry;
    reopened.closed = false;
    if (!this.parameters.inLockStep(service)) return;
    for (const record of this.#records.values()) {
      if (record.entry.service === service) record.closed = false;
    }
  }

  /** Whether requests are under way at a runner and none of them gets on. */
  stalled(identifier: string): boolean {
    return this.#records.get(identifier)?.stalled(common.now()) ?? false;
  }

  /** Whether nothing has come from a runner lately. */
  isSilent(identifier: string): boolean {
    return this.#records.get(identifier)?.isSilent(common.now()) ?? true;
  }

  /** A runner at which nothing progresses gets no new work for a while. */
  spare(identifier: string): void {
    const record = this.#records.get(identifier);
    if (record) record.sparedUntil = common.now() + SPARED_MILLISECONDS;
  }

  /**
   * Another runner answers at the address of this one. It may stay listed for
   * seconds, and gets no more for as long.
   */
  drop(runner: traffic.RunnerEntry): void {
    this.#disproved.add(traffic.incarnationOf(runner));
    const record = this.#records.get(runner.identifier);
    if (
      record &&
      traffic.incarnationOf(record.entry) === traffic.incarnationOf(runner)
    ) {
      this.#records.delete(runner.identifier);
    }
  }

  /** All runners, for operators. */
  runners(): BoardRunner[] {
    const now = common.now();
    return [...this.#records].map(([identifier, record]) => ({
      identifier,
      service: record.entry.service,
      dataCentre: record.entry.dataCentre,
      leaving: record.entry.leaving,
      own: record.own,
      outstanding: record.own + this.#others.at(identifier),
      failureShare: record.currentFailureShare(now),
      spared: record.isSpared(now),
    }));
  }

  #note(record: RunnerRecord, end: CallEnd): void {
    if (end === CallEnd.Neutral) return;
    const now = common.now();
    const failed = end === CallEnd.Bad ? 1 : 0;
    const before = record.currentFailureShare(now);
    record.failureShare = before + NEWEST_WEIGHT * (failed - before);
    record.failureSeenAt = now;
  }
}
