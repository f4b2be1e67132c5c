import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as answerTimer from "./answer_timer.ts";
import * as chooseRunner from "./choose_runner.ts";
import * as departedIncarnations from "./departed_incarnations.ts";
import * as outstandingFromOthers from "./outstanding_from_others.ts";
import * as runnerRecord from "./runner_record.ts";
import * as silenceClock from "./silence_clock.ts";
import * as slowRunners from "./slow_runners.ts";

/**
 * Outcome of a call, as far as it says something about the health of the
 * runner.
 */
export enum CallOutcome {
  Success = "good",
  /**
   * The runner had no room, or the caller disconnected: says nothing about
   * health.
   */
  Neutral = "neutral",
  /**
   * The runner failed the request, its answer stopped early, or it was too
   * slow.
   */
  Failure = "bad",
}

/**
 * Weight of the newest answer in a runner's failure share. With it, a runner
 * that fails two in five requests is noticed after four or five answers.
 */
const NEWEST_ANSWER_WEIGHT = 0.2;
/** How long a runner that could not be connected to is suspended. */
const SUSPENSION_MILLISECONDS = 700;
/**
 * How long a runner that refused a request although it had room gets no further
 * requests. Its group has lost a rank and is being re-formed. That takes half a
 * second or more, and the runner refuses all requests until then.
 */
const REFUSAL_PAUSE_MILLISECONDS = 250;
/**
 * Time between two requests sent as probes to a service all of whose runners
 * refuse requests although they have room. Each refused probe uses up retry
 * budget; an entry sends ten a second, however many requests wait.
 */
const PROBE_INTERVAL_MILLISECONDS = 100;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** State of one runner, as operators see it. */
export interface TrackedRunner {
  identifier: string;
  service: string;
  dataCentre: string;
  leaving: boolean;
  /** Requests in progress from this entry. */
  own: number;
  /** Requests in progress from all entries. */
  outstanding: number;
  /** Share of the runner's recent answers that failed, 0 to 1. */
  failureShare: number;
  /** The runner is suspended: it gets no new requests for now. */
  spared: boolean;
  /** The runner is much slower than the others of its service. */
  slow: boolean;
}

/**
 * Tracks all listed runners: the load of each, its failures and its progress.
 * Chooses the runner for each request.
 */
export class RunnerTracker {
  readonly #records = new Map<string, runnerRecord.RunnerRecord>();
  /** Incarnations still listed although another runner has their address. */
  #replacedIncarnations = new Set<string>();
  readonly #departed = new departedIncarnations.DepartedIncarnations();
  readonly #otherEntries = new outstandingFromOthers.OutstandingFromOthers();
  /**
   * When the next probe may be sent to each service whose runners refuse
   * requests.
   */
  readonly #nextProbeAt = new Map<string, number>();
  /** Announces that a runner may accept requests that did not before. */
  readonly availabilityChanged = new common.ChangeNotice();
  /** Measures for how long runners have sent nothing. */
  readonly silenceClock = new silenceClock.SilenceClock();
  readonly #slowRunners: slowRunners.SlowRunners;
  /** Calls in progress from this entry, to all runners. */
  #ownCalls = 0;

  constructor(
    readonly parameters: {
      dataCentre: string;
      random: common.Random;
      /** Whether the runners of a service run in lock-step, in groups. */
      inLockStep: (service: string) => boolean;
      /**
       * Milliseconds until a runner may have room within its request rate
       * limit; 0 if it may have now.
       */
      rateLimitWaitOf: (runner: traffic.RunnerEntry) => number;
      /**
       * Milliseconds for which a runner wants nothing from this entry; 0 for
       * none.
       */
      restOf: (runner: traffic.RunnerEntry) => number;
      /** Whether runners in a data centre get nothing new. */
      isEvacuated: (dataCentre: string) => boolean;
      /** Called when a runner has become slow, or is no longer so. */
      onSlowChange?: (identifier: string, isSlow: boolean) => void;
    },
  ) {
    const { inLockStep, onSlowChange: onChange = () => {} } = parameters;
    const now = () => this.silenceClock.now();
    this.#slowRunners = new slowRunners.SlowRunners({
      now,
      monotonicNow: common.now,
      inLockStep,
      onChange,
    });
  }

  /** Applies a new list; runners that are not in it get no further requests. */
  update(list: traffic.RunnerList): void {
    const listed = new Set<string>();
    const stillListed = new Set<string>();
    for (const entry of this.#departed.markLeaving(list.runners)) {
      if (this.#replacedIncarnations.has(traffic.incarnationOf(entry))) {
        stillListed.add(traffic.incarnationOf(entry));
        continue;
      }
      listed.add(entry.identifier);
      const record = this.#records.get(entry.identifier);
      // A new incarnation starts without the failures and requests of the old
      // one.
      if (record?.entry.bornAt === entry.bornAt) record.entry = entry;
      else {
        const created = new runnerRecord.RunnerRecord(entry, this.silenceClock);
        this.#records.set(entry.identifier, created);
        this.#slowRunners.forget(entry.identifier);
      }
    }
    this.#replacedIncarnations = stillListed;
    this.availabilityChanged.announce();
    for (const identifier of this.#records.keys()) {
      if (listed.has(identifier)) continue;
      this.#records.delete(identifier);
      this.#slowRunners.forget(identifier);
    }
  }

  /**
   * Replaces the request counts of another entry, which runs on `host`;
   * `undefined` if that entry is disconnected.
   */
  setCountsOf(host: string, counts: Map<string, number> | undefined): void {
    this.#otherEntries.setCountsOf(host, counts);
  }

  /** Requests in progress from this entry, by runner; only runners with any. */
  ownCounts(): [string, number][] {
    const counts: [string, number][] = [];
    for (const [identifier, { own }] of this.#records) {
      if (own > 0) counts.push([identifier, own]);
    }
    return counts;
  }

  /** Runners of a service that may get a request, without those in `tried`. */
  candidates(
    service: string,
    tried: ReadonlySet<string>,
  ): chooseRunner.RunnerView[] {
    const now = common.now();
    const groupStalled = this.#isGroupStalled(service);
    const available = new Map<string, runnerRecord.RunnerRecord>();
    for (const [identifier, record] of this.#records) {
      const { entry } = record;
      if (entry.service !== service || !this.#isOpen(entry)) continue;
      if (record.refusing && now < record.avoidUntil) continue;
      if (this.parameters.rateLimitWaitOf(entry) > 0) continue;
      if (this.parameters.restOf(entry) > 0) continue;
      available.set(identifier, record);
    }
    // Includes runners that this request has tried: a slow one among them shows
    // that its group is slow.
    const isAvoided = this.#slowRunners.avoidance(service, (identifier) =>
      available.has(identifier),
    );
    const views: chooseRunner.RunnerView[] = [];
    for (const [identifier, record] of available) {
      if (tried.has(identifier)) continue;
      const { entry } = record;
      views.push({
        identifier,
        outstanding: record.own + this.#otherEntries.countAt(identifier),
        slots: entry.slots,
        sameDataCentre: entry.dataCentre === this.parameters.dataCentre,
        failureShare: record.currentFailureShare(now),
        suspended:
          record.isSuspended(now) ||
          (groupStalled && record.isUnresponsive(now)),
        avoided: isAvoided(identifier),
      });
    }
    return views;
  }

  /**
   * Whether a runner of a service in lock-step has stalled. Then all runners of
   * its group have, but those without requests from this entry do not show it,
   * and would look like alternatives. Without this check, when a group stood
   * still for 0.9 s, entries abandoned the streams at all its runners and sent
   * them to the runner on the frozen host, which never answered them.
   */
  #isGroupStalled(service: string): boolean {
    if (!this.parameters.inLockStep(service)) return false;
    for (const record of this.#records.values()) {
      if (record.entry.service === service && record.isStalled) return true;
    }
    return false;
  }

  /**
   * Chooses the runner for a request; `undefined` if there is none to try now.
   */
  choose(
    service: string,
    tried: ReadonlySet<string>,
  ): traffic.RunnerEntry | undefined {
    const views = this.candidates(service, tried);
    const probed = tried.size > 0 ? [] : this.#probeTargets(service, views);
    const chosen = chooseRunner.chooseRunner(
      probed.length > 0 ? probed : views,
      this.parameters.random,
    );
    const record = chosen && this.#records.get(chosen.identifier);
    if (!record) return undefined;
    if (record.refusing && !this.#startProbe(record)) return undefined;
    return record.entry;
  }

  /** Avoided runners one of which gets the next request of a service as a probe. */
  #probeTargets(
    service: string,
    views: chooseRunner.RunnerView[],
  ): chooseRunner.RunnerView[] {
    // A refusing runner has probes of its own.
    const avoided = views.filter(
      ({ identifier, avoided, suspended }) =>
        avoided && !suspended && !this.#records.get(identifier)?.refusing,
    );
    const targets = this.#slowRunners.probeTargets(
      service,
      avoided.map(({ identifier }) => identifier),
    );
    return avoided.filter(({ identifier }) => targets.includes(identifier));
  }

  /** Starts to time the answer to a request that is about to be sent. */
  timeAnswer(
    runner: traffic.RunnerEntry,
    route: traffic.Route,
  ): answerTimer.AnswerTimer {
    const { identifier, slots } = runner;
    const own = this.#records.get(identifier)?.own ?? 0;
    const hadFreeSlot = own + this.#otherEntries.countAt(identifier) <= slots;
    return this.#slowRunners.time({ runner, route, hadFreeSlot });
  }

  /**
   * Runner of a service that could get a request soonest if its request rate
   * limit is waited for, and the wait; `undefined` if no limit is in the way.
   */
  nextWithinRateLimit(
    service: string,
    tried: ReadonlySet<string>,
  ): { runner: traffic.RunnerEntry; waitMilliseconds: number } | undefined {
    let next:
      { runner: traffic.RunnerEntry; waitMilliseconds: number } | undefined;
    for (const { entry } of this.#records.values()) {
      if (entry.service !== service || !this.#isOpen(entry)) continue;
      if (tried.has(entry.identifier)) continue;
      if (this.parameters.restOf(entry) > 0) continue;
      const waitMilliseconds = this.parameters.rateLimitWaitOf(entry);
      if (waitMilliseconds === 0) continue;
      if (next && next.waitMilliseconds <= waitMilliseconds) continue;
      next = { runner: entry, waitMilliseconds };
    }
    return next;
  }

  /**
   * Milliseconds until the first runner of a service that wants rest may get a
   * request; `undefined` if none wants rest.
   */
  firstRestEnd(service: string): number | undefined {
    const waits: number[] = [];
    for (const { entry } of this.#records.values()) {
      if (entry.service !== service || !this.#isOpen(entry)) continue;
      const wait = this.parameters.restOf(entry);
      if (wait > 0) waits.push(wait);
    }
    return waits.length > 0 ? Math.min(...waits) : undefined;
  }

  /** Whether any runner of a service may get a request now. */
  hasCandidates(service: string): boolean {
    return this.candidates(service, NONE_TRIED).length > 0;
  }

  /** Whether this entry may send a request to a runner now. */
  mayReceive(runner: traffic.RunnerEntry): boolean {
    if (!this.inUse(runner) || this.isEvacuated(runner.dataCentre))
      return false;
    return this.parameters.restOf(runner) === 0;
  }

  /** Whether runners in a data centre get nothing new. */
  isEvacuated(dataCentre: string): boolean {
    return this.parameters.isEvacuated(dataCentre);
  }

  /** Whether a runner is neither leaving nor in an evacuated data centre. */
  #isOpen({ leaving, dataCentre }: traffic.RunnerEntry): boolean {
    return !leaving && !this.isEvacuated(dataCentre);
  }

  /**
   * Whether this incarnation of a runner is listed, and not as leaving. True
   * also in an evacuated data centre: the runner goes on with its requests, and
   * its crashes count.
   */
  inUse(runner: traffic.RunnerEntry): boolean {
    const entry = this.#records.get(runner.identifier)?.entry;
    if (!entry || entry.leaving) return false;
    return traffic.incarnationOf(entry) === traffic.incarnationOf(runner);
  }

  /** Versions of the runners of a service that are not leaving. */
  versionsOf(service: string): Set<string> {
    const versions = new Set<string>();
    for (const { entry } of this.#records.values()) {
      if (entry.service === service && !entry.leaving) {
        versions.add(entry.version);
      }
    }
    return versions;
  }

  /** Whether a runner of a service refuses requests although it has room. */
  hasRefusing(service: string): boolean {
    for (const { entry, refusing } of this.#records.values()) {
      if (refusing && entry.service === service && this.#isOpen(entry))
        return true;
    }
    return false;
  }

  /**
   * Whether a runner of a service in lock-step refuses requests although it has
   * room, and no runner of the service has sent anything since. Then its group
   * is being re-formed, and the other runners refuse requests as well.
   */
  hasGroupRefused(service: string): boolean {
    if (!this.parameters.inLockStep(service)) return false;
    let refusedAt = -Infinity;
    let receivedAt = -Infinity;
    for (const record of this.#records.values()) {
      if (record.entry.service !== service) continue;
      receivedAt = Math.max(receivedAt, record.lastReceivedAt);
      if (record.refusing) refusedAt = Math.max(refusedAt, record.refusedAt);
    }
    return refusedAt > receivedAt;
  }

  /** Whether a runner refuses requests although it has room. */
  isRefusing(identifier: string): boolean {
    return this.#records.get(identifier)?.refusing ?? false;
  }

  /** Requests in progress at a runner, from all entries. */
  outstandingAt(identifier: string): number {
    const own = this.#records.get(identifier)?.own ?? 0;
    return own + this.#otherEntries.countAt(identifier);
  }

  /**
   * Notes that a runner refused a request. Ignored if its slots are full: a
   * refusal is normal then.
   */
  noteRefusal(identifier: string): void {
    const record = this.#records.get(identifier);
    if (!record) return;
    const load = record.own + this.#otherEntries.countAt(identifier);
    if (load > record.entry.slots) return;
    record.refusing = true;
    record.refusedAt = common.now();
    record.avoidUntil = record.refusedAt + REFUSAL_PAUSE_MILLISECONDS;
  }

  /**
   * Whether a request may be sent to find out if a refusing runner accepts
   * requests again. If so, reserves this probe.
   */
  #startProbe(record: runnerRecord.RunnerRecord): boolean {
    const now = common.now();
    const { service } = record.entry;
    if (now < (this.#nextProbeAt.get(service) ?? 0)) return false;
    this.#nextProbeAt.set(service, now + PROBE_INTERVAL_MILLISECONDS);
    record.avoidUntil = now + REFUSAL_PAUSE_MILLISECONDS;
    return true;
  }

  /**
   * Notes that a call to a runner starts; the returned function notes its
   * outcome.
   */
  startCall(identifier: string): (outcome: CallOutcome) => void {
    const record = this.#records.get(identifier);
    if (!record) return () => {};
    if (this.#ownCalls === 0) this.silenceClock.start();
    this.#ownCalls++;
    if (record.awaited === 0) record.progressAt = this.silenceClock.now();
    record.own++;
    return (outcome) => {
      this.#ownCalls--;
      if (this.#ownCalls === 0) this.silenceClock.stop();
      record.own--;
      this.#recordOutcome(record, outcome);
    };
  }

  /**
   * Notes that the answer of a call is not read for now, since its caller takes
   * nothing; the returned function notes that it is read again.
   */
  pauseCall(identifier: string): () => void {
    const record = this.#records.get(identifier);
    if (!record) return () => {};
    record.unread++;
    return () => {
      if (record.awaited === 0) record.progressAt = this.silenceClock.now();
      record.unread--;
    };
  }

  /** Notes that a message for a request arrived from a runner. */
  noteProgress(identifier: string): void {
    const record = this.#records.get(identifier);
    if (!record) return;
    record.progressAt = this.silenceClock.now();
    record.lastReceivedAt = common.now();
    if (!record.refusing) return;
    this.#endRefusal(record);
    this.availabilityChanged.announce();
  }

  /**
   * Notes that a runner accepts requests again, and with it all runners of its
   * service if these run in lock-step. A group starts to accept requests on all
   * ranks at the same time. If entries probed rank by rank, with a request each
   * tenth of a second, each entry would leave most of twelve ranks without
   * requests for another second while the backlog of an outage waits. A runner
   * of another group that is not re-formed yet refuses the next request, and is
   * avoided again.
   */
  #endRefusal(accepting: runnerRecord.RunnerRecord): void {
    const { service } = accepting.entry;
    accepting.refusing = false;
    if (!this.parameters.inLockStep(service)) return;
    for (const record of this.#records.values()) {
      if (record.entry.service === service) record.refusing = false;
    }
  }

  /**
   * Whether a runner has requests in progress and none of them makes progress.
   */
  isStalled(identifier: string): boolean {
    return this.#records.get(identifier)?.isStalled ?? false;
  }

  /**
   * Whether a runner has sent nothing for the stall timeout; true if not
   * listed.
   */
  isUnresponsive(identifier: string): boolean {
    return this.#records.get(identifier)?.isUnresponsive(common.now()) ?? true;
  }

  /** Stops sending new requests to a runner for a while. */
  suspend(identifier: string): void {
    const record = this.#records.get(identifier);
    if (record) record.suspendedUntil = common.now() + SUSPENSION_MILLISECONDS;
  }

  /**
   * Notes that a runner said in an answer that it is leaving; returns whether
   * that is new. It stays so whatever later lists and answers say.
   */
  noteLeaving(runner: traffic.RunnerEntry): boolean {
    const record = this.#records.get(runner.identifier);
    const isTracked =
      record !== undefined &&
      traffic.incarnationOf(record.entry) === traffic.incarnationOf(runner);
    if (isTracked) record.entry = { ...record.entry, leaving: true };
    return this.#departed.announce(runner);
  }

  /**
   * Removes an incarnation whose address another runner has now. It may stay
   * listed for seconds, and gets no further requests during that time.
   */
  removeReplaced(runner: traffic.RunnerEntry): void {
    this.#replacedIncarnations.add(traffic.incarnationOf(runner));
    const record = this.#records.get(runner.identifier);
    if (
      record &&
      traffic.incarnationOf(record.entry) === traffic.incarnationOf(runner)
    ) {
      this.#records.delete(runner.identifier);
      this.#slowRunners.forget(runner.identifier);
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
      slow: this.#slowRunners.isSlow(identifier),
    }));
  }

  #recordOutcome(
    record: runnerRecord.RunnerRecord,
    outcome: CallOutcome,
  ): void {
    if (outcome === CallOutcome.Neutral) return;
    const now = common.now();
    const failed = outcome === CallOutcome.Failure ? 1 : 0;
    const previousShare = record.currentFailureShare(now);
    record.failureShare =
      previousShare + NEWEST_ANSWER_WEIGHT * (failed - previousShare);
    record.failureShareUpdatedAt = now;
  }
}
