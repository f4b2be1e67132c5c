import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as brokenRun from "./broken_run.ts";
import * as evidenceModule from "./evidence.ts";
import * as standing from "./standing.ts";
import * as suspectLedger from "./suspect_ledger.ts";
import * as toldEnds from "./told_ends.ts";

/** Runs that one log line names at most. */
const MOST_RUNS_LOGGED = 16;
/** Requests that an entry puts under suspicion in a second, at most. */
const MOST_SUSPECTED = 500;
const SECOND_MILLISECONDS = 1_000;
/** Suspicions that an entry tells one that was just linked, at most. */
const MOST_TOLD_AT_ONCE = 2_000;

/** A request on its way, as far as the quarantine needs it. */
export interface WatchedRequest {
  service: string;
  /** Name of the request by what it asks for; worked out when it is asked for. */
  readonly fingerprint: string;
  /** Ends the attempt under way, unless the caller has some of its answer. */
  stop(): void;
}

/** A request in quarantine, as operators see it. */
export interface QuarantineCase {
  fingerprint: string;
  service: string;
  /** Time of day since which it is held. */
  since: string;
  /** Milliseconds until it is tried again; 0 if that may be now. */
  millisecondsLeft: number;
  ends: { runner: string; version: string; at: string; seenBy: string[] }[];
}

/** What the quarantine needs of its entry. */
export interface QuarantineParameters {
  host: string;
  /** Entries that take requests, this one among them. */
  entries: () => string[];
  /** Versions of the runners that a service has. */
  versionsOf: (service: string) => ReadonlySet<string>;
  /** Tells other entries, all but one. */
  tell: (message: wire.Suspicions, except?: string) => void;
  /** Whether what is new here is passed on: not all entries are linked. */
  relays: boolean;
  /** Told of each runner's end that another entry saw. */
  onEndTold: (life: string, endedAt: number) => void;
  /** Held requests in the platform's table service. */
  rows: {
    keep: (fingerprint: string, reports: suspectLedger.ReportedEnd[]) => void;
    drop: (fingerprint: string) => void;
  };
  logger: common.Logger;
  metrics: common.Metrics;
}

/**
 * Keeps requests from runners that would end under them. Each entry tells the others
 * which requests were under way when a runner ended; a request for which several ends
 * speak, and no whole answer since, is sent to no runner more.
 */
export class Quarantine {
  readonly #ledger = new suspectLedger.SuspectLedger();
  readonly #underWay = new Set<WatchedRequest>();
  /** Requests on trial here, by fingerprint. */
  readonly #trials = new Map<string, WatchedRequest>();
  #suspectedSince = -Infinity;
  #suspected = 0;

  constructor(readonly parameters: QuarantineParameters) {}

  /** Watches a request while it is under way; the returned function ends that. */
  watch(request: WatchedRequest): () => void {
    this.#underWay.add(request);
    return () => {
      this.#underWay.delete(request);
      for (const [fingerprint, tried] of this.#trials) {
        if (tried === request) this.#trials.delete(fingerprint);
      }
    };
  }

  /** Whether any request for a service is held. */
  holdsAny(service: string): boolean {
    for (const fingerprint of this.#ledger.held) {
      if (this.#ledger.serviceOf(fingerprint) === service) return true;
    }
    return false;
  }

  /** Milliseconds for which a request is sent to no runner; 0 if it may be now. */
  heldMilliseconds(request: WatchedRequest): number {
    if (this.#ledger.held.size === 0) return 0;
    const { fingerprint } = request;
    if (!this.#ledger.held.has(fingerprint)) return 0;
    const found = this.#standingOf(fingerprint);
    switch (found.kind) {
      case "held":
        return found.millisecondsLeft;
      case "on-trial":
        return this.#mayTry(fingerprint) ? 0 : SECOND_MILLISECONDS;
    }
  }

  /**
   * The same just before a request is sent. One that is sent on trial is the only one
   * for as long as it is under way.
   */
  admit(request: WatchedRequest): number {
    const milliseconds = this.heldMilliseconds(request);
    if (milliseconds > 0 || this.#ledger.held.size === 0) return milliseconds;
    const { fingerprint } = request;
    if (this.#ledger.held.has(fingerprint)) {
      this.#trials.set(fingerprint, request);
    }
    return 0;
  }

  /** A runner of a version answered a request whole: it does not end its runners. */
  answered(request: WatchedRequest, version: string): void {
    if (this.#ledger.empty) return;
    const { fingerprint } = request;
    const wasOnTrial = this.#trials.get(fingerprint) === request;
    // Another version may run well what ends the runners of this one.
    this.#clear(fingerprint, (end) => wasOnTrial || end.version === version);
  }

  /** Takes an operator's word that a request is sound; false if it is not held. */
  lift(fingerprint: string): boolean {
    if (!this.#ledger.held.has(fingerprint)) return false;
    this.#clear(fingerprint, () => true);
    return true;
  }

  /** Takes what the table service kept while no entry was there. */
  restore(reports: suspectLedger.ReportedEnd[]): void {
    const { held } = this.#merge(reports);
    const kept = reports.flatMap(({ suspicions }) =>
      suspicions.map(({ fingerprint }) => fingerprint),
    );
    this.#holdToo(kept, held);
  }

  /** A runner ended while requests of this entry were under way there. */
  runnerEnded(end: brokenRun.RunnerEnd): void {
    this.#logEnd(end);
    const { life, runner, service, version, endedAt, runs } = end;
    const report: suspectLedger.ReportedEnd = {
      life,
      runner,
      service,
      version,
      endedAt,
      seenBy: [this.parameters.host],
      disproved: false,
      suspicions: this.#bounded(runs).map(({ fingerprint, startedAt }) => ({
        fingerprint,
        startedAt,
        cleared: false,
      })),
    };
    const change = this.#merge([report]);
    if (change.news) this.#tell([report], change.held);
  }

  /** A runner was heard after its end was told: it had not ended. */
  runnerHeard(life: string): void {
    const report = this.#ledger.reportOf(life);
    if (!report || report.disproved) return;
    const disproof = { ...report, disproved: true };
    this.#dropRows(this.#merge([disproof]));
    this.#tell([disproof], []);
    const { runner, seenBy } = report;
    const code = common.EventCode.RunnerEndDisproved;
    this.parameters.logger.event(code, { runner, seenBy });
  }

  /** Lives of runners that ended from one moment to another. */
  endedLives(earliest: number, latest: number): string[] {
    return this.#ledger.endedLives(earliest, latest);
  }

  /** When a life of a runner ended, if any entry saw it. */
  endOf(life: string): number | undefined {
    return this.#ledger.endOf(life);
  }

  /** Takes what another entry tells. */
  take(message: wire.Suspicions, from: string): void {
    const now = common.now();
    const reports = message.ends.map((told) => toldEnds.fromTold(told, now));
    const change = this.#merge(reports);
    this.#holdToo(message.held, change.held);
    const relayed = this.parameters.relays && change.news ? reports : [];
    // The sender may lack the ends that others saw, and with them the proof.
    const senderKnows = change.held.every((one) => message.held.includes(one));
    this.#tell(relayed, change.held, senderKnows ? from : undefined);
    for (const { life, endedAt, disproved } of reports) {
      if (!disproved) this.parameters.onEndTold(life, endedAt);
    }
  }

  /** What weighs most, for an entry that was just linked; `undefined` if nothing. */
  everything(): wire.Suspicions | undefined {
    const reports = this.#ledger.weightiest(MOST_TOLD_AT_ONCE);
    if (reports.length === 0) return undefined;
    return messageOf(reports, [...this.#ledger.held]);
  }

  /** Requests that are held, for operators. */
  cases(): QuarantineCase[] {
    return [...this.#ledger.held].map((fingerprint) => {
      const found = this.#standingOf(fingerprint);
      const ends = this.#ledger.endsUnder(fingerprint);
      const proving = ends[evidenceModule.PROOF.ends - 1];
      return {
        fingerprint,
        service: this.#ledger.serviceOf(fingerprint),
        since: timeOfDay(proving.endedAt),
        millisecondsLeft:
          found.kind === "held" ? Math.round(found.millisecondsLeft) : 0,
        ends: ends.map(({ runner, version, endedAt, seenBy }) => {
          return { runner, version, at: timeOfDay(endedAt), seenBy };
        }),
      };
    });
  }

  /** What the state dump says of it. */
  describe(): unknown {
    return { ...this.#ledger.size, held: this.cases() };
  }

  #standingOf(fingerprint: string): standing.HeldStanding {
    return standing.standingOf({
      ends: this.#ledger.endsUnder(fingerprint),
      versionsInUse: this.parameters.versionsOf(
        this.#ledger.serviceOf(fingerprint),
      ),
      now: common.now(),
    });
  }

  /**
   * One attempt at a time in all the system, and one only of each request, so that a
   * failed trial costs one runner.
   */
  #mayTry(fingerprint: string): boolean {
    return this.#isChosen(fingerprint) && !this.#trials.has(fingerprint);
  }

  /** Whether this entry is the one that acts for all on a request. */
  #isChosen(fingerprint: string): boolean {
    const { host, entries } = this.parameters;
    return common.rendezvous(fingerprint, entries()) === host;
  }

  #clear(
    fingerprint: string,
    speaksFor: (end: { version: string }) => boolean,
  ): void {
    const reports = this.#ledger
      .reports(fingerprint)
      .filter(speaksFor)
      .filter(({ suspicions }) => suspicions.some(({ cleared }) => !cleared))
      .map((report) => ({
        ...report,
        suspicions: report.suspicions.map((suspicion) => ({
          ...suspicion,
          cleared: true,
        })),
      }));
    if (reports.length === 0) return;
    this.#dropRows(this.#merge(reports));
    this.#tell(reports, []);
  }

  #merge(reports: suspectLedger.ReportedEnd[]): suspectLedger.LedgerChange {
    const now = common.now();
    const merged: suspectLedger.LedgerChange = {
      news: false,
      held: [],
      released: [],
    };
    for (const report of reports) {
      const change = this.#ledger.merge(report, now);
      merged.news ||= change.news;
      merged.held.push(...change.held);
      merged.released.push(...change.released);
    }
    for (const fingerprint of merged.held) this.#onHeld(fingerprint);
    for (const fingerprint of merged.released) this.#onReleased(fingerprint);
    return merged;
  }

  /** Holds what others found reason to hold, and adds it to what is held now. */
  #holdToo(fingerprints: string[], held: string[]): void {
    for (const fingerprint of fingerprints) {
      if (!this.#ledger.hold(fingerprint)) continue;
      held.push(fingerprint);
      this.#onHeld(fingerprint);
    }
  }

  #onHeld(fingerprint: string): void {
    const { logger, metrics } = this.parameters;
    const service = this.#ledger.serviceOf(fingerprint);
    const ends = this.#ledger
      .endsUnder(fingerprint)
      .map(({ runner, version, seenBy }) => ({ runner, version, seenBy }));
    const code = common.EventCode.RequestQuarantined;
    logger.event(code, { fingerprint, service, ends });
    metrics.count(common.Metric.Quarantined, { service });
    if (this.#isChosen(fingerprint)) {
      const reports = this.#ledger.reports(fingerprint);
      this.parameters.rows.keep(fingerprint, reports);
    }
    for (const request of this.#underWay) {
      if (request.service !== service) continue;
      if (request.fingerprint === fingerprint) request.stop();
    }
  }

  /** Who found the reason to release requests knows first that rows are to go. */
  #dropRows({ released }: suspectLedger.LedgerChange): void {
    for (const fingerprint of released) this.parameters.rows.drop(fingerprint);
  }

  #onReleased(fingerprint: string): void {
    this.#trials.delete(fingerprint);
    const code = common.EventCode.QuarantineEnded;
    this.parameters.logger.event(code, { fingerprint });
  }

  /** Tells reports, and of requests that are held all that speaks against them. */
  #tell(
    reports: suspectLedger.ReportedEnd[],
    held: string[],
    except?: string,
  ): void {
    const proofs = held.flatMap((name) => this.#ledger.reports(name));
    const told = [...reports, ...proofs];
    if (told.length === 0) return;
    this.parameters.tell(messageOf(told, held), except);
  }

  /**
   * Runs that are told of: when all hosts are lost at once, each request of a moment
   * is under way somewhere. Those seen before go first.
   */
  #bounded(runs: brokenRun.BrokenRun[]): brokenRun.BrokenRun[] {
    const now = common.now();
    if (now - this.#suspectedSince > SECOND_MILLISECONDS) {
      this.#suspectedSince = now;
      this.#suspected = 0;
    }
    const seen = ({ fingerprint }: brokenRun.BrokenRun) =>
      this.#ledger.endsUnder(fingerprint).length;
    const told = [...runs]
      .sort((left, right) => seen(right) - seen(left))
      .slice(0, MOST_SUSPECTED - this.#suspected);
    this.#suspected += told.length;
    return told;
  }

  #logEnd(end: brokenRun.RunnerEnd): void {
    const { runner, service, life, evidence, endedAt, runs } = end;
    this.parameters.logger.event(common.EventCode.RunnerEnded, {
      runner,
      service,
      life,
      evidence,
      runs: runs.slice(0, MOST_RUNS_LOGGED).map((run) => ({
        request: run.request,
        fingerprint: run.fingerprint,
        milliseconds: Math.round(endedAt - run.startedAt),
      })),
      more: Math.max(0, runs.length - MOST_RUNS_LOGGED),
    });
  }
}

function messageOf(
  reports: suspectLedger.ReportedEnd[],
  held: string[],
): wire.Suspicions {
  const now = common.now();
  return {
    kind: wire.MessageKind.Suspicions,
    ends: reports.map((report) => toldEnds.toTold(report, now)),
    held,
  };
}

/** Time of day of a moment of this process's monotonic clock. */
function timeOfDay(moment: number): string {
  return new Date(Date.now() - (common.now() - moment)).toISOString();
}
