import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as runnerCrash from "./runner_crash.ts";
import * as quarantineCase from "./quarantine_case.ts";
import * as trialStatus from "./trial_status.ts";
import * as suspectLedger from "./suspect_ledger.ts";
import * as suspicionLimit from "./suspicion_limit.ts";
import * as suspicionsMessage from "./suspicions_message.ts";
import * as watchedRequests from "./watched_requests.ts";

/** Runs that one log line names at most. */
const MAX_LOGGED_RUNS = 16;
/** When a request is to come back while another one like it is on trial. */
const TRIAL_RETRY_MILLISECONDS = 1_000;
/** How long a request that was held is remembered after that, in milliseconds. */
const RELEASE_RETENTION_MILLISECONDS = 60_000;
/** Suspicions that an entry tells one that was just linked, at most. */
const MAX_INITIAL_SUSPICIONS = 2_000;

/** What the quarantine needs of its entry. */
export interface QuarantineParameters {
  host: string;
  /** Entries that take requests, this one among them. */
  entries: () => string[];
  /** Versions of the runners that a service has. */
  versionsOf: (service: string) => ReadonlySet<string>;
  /** Tells other entries, all but one. */
  send: (message: wire.Suspicions, except?: string) => void;
  /** Whether what is new here is passed on: not all entries are linked. */
  relays: boolean;
  /** Told of each runner's end that another entry saw. */
  onReportedCrash: (incarnation: string, endedAt: number) => void;
  /** Held requests in the platform's table service. */
  rows: {
    store: (fingerprint: string, reports: suspectLedger.CrashReport[]) => void;
    remove: (fingerprint: string) => void;
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
  readonly #watched = new watchedRequests.WatchedRequests();
  readonly #limit = new suspicionLimit.SuspicionLimit();
  /** Requests that are held no more, and since when. */
  readonly #released = new Map<string, number>();

  constructor(readonly parameters: QuarantineParameters) {}

  /** Watches a request while it is under way; the returned function ends that. */
  watch(request: watchedRequests.WatchedRequest): () => void {
    return this.#watched.watch(request);
  }

  /** Whether any request for a service is held. */
  hasQuarantined(service: string): boolean {
    for (const fingerprint of this.#ledger.quarantined) {
      if (this.#ledger.serviceOf(fingerprint) === service) return true;
    }
    return false;
  }

  /** Milliseconds for which a request is sent to no runner; 0 if it may be now. */
  remainingMilliseconds(request: watchedRequests.WatchedRequest): number {
    if (this.#ledger.quarantined.size === 0) return 0;
    const { fingerprint } = request;
    if (!this.#ledger.quarantined.has(fingerprint)) return 0;
    const status = this.#trialStatusOf(fingerprint);
    switch (status.kind) {
      case "held":
        return status.millisecondsLeft;
      case "on-trial":
        return this.#mayStartTrial(fingerprint) ? 0 : TRIAL_RETRY_MILLISECONDS;
    }
  }

  /**
   * The same just before a request is sent. One that is sent on trial is the only one
   * for as long as it is under way.
   */
  admit(request: watchedRequests.WatchedRequest): number {
    const milliseconds = this.remainingMilliseconds(request);
    if (milliseconds > 0 || this.#ledger.quarantined.size === 0)
      return milliseconds;
    if (this.#ledger.quarantined.has(request.fingerprint)) {
      this.#watched.startTrial(request);
    }
    return 0;
  }

  /** A runner of a version answered a request whole: it does not end its runners. */
  answered(request: watchedRequests.WatchedRequest, version: string): void {
    if (this.#ledger.isEmpty) return;
    const wasOnTrial = this.#watched.isOnTrial(request);
    // Another version may run well what ends the runners of this one.
    this.#clear(
      request.fingerprint,
      (report) => wasOnTrial || report.version === version,
    );
  }

  /** Takes an operator's word that a request is sound; false if it is not held. */
  lift(fingerprint: string): boolean {
    if (!this.#ledger.quarantined.has(fingerprint)) return false;
    this.#clear(fingerprint, () => true);
    return true;
  }

  /** Takes what the table service kept while no entry was there. */
  restore(reports: suspectLedger.CrashReport[]): void {
    const quarantined = reports.flatMap(({ suspicions }) =>
      suspicions.map(({ fingerprint }) => fingerprint),
    );
    this.#merge(reports, quarantined);
  }

  /**
   * Writes rows again that the table service has lost, and removes those that it has
   * again: it came back from a copy. The number of rows that it was for this entry to
   * write.
   */
  restoreRows(): number {
    const now = common.now();
    for (const [fingerprint, at] of this.#released) {
      if (now - at > RELEASE_RETENTION_MILLISECONDS)
        this.#released.delete(fingerprint);
    }
    const isMine = (fingerprint: string) => this.#isOwner(fingerprint);
    const quarantined = [...this.#ledger.quarantined].filter(isMine);
    const released = [...this.#released.keys()].filter(isMine);
    for (const fingerprint of quarantined) this.#storeRow(fingerprint);
    for (const fingerprint of released)
      this.parameters.rows.remove(fingerprint);
    return quarantined.length + released.length;
  }

  /** A runner ended while requests of this entry were under way there. */
  recordCrash(crash: runnerCrash.RunnerCrash): void {
    this.#logCrash(crash);
    const { life, runner, service, version, endedAt } = crash;
    const runs = this.#limit.selectRuns(
      crash.runs,
      (fingerprint) => this.#ledger.crashesUnder(fingerprint).length,
    );
    const report: suspectLedger.CrashReport = {
      life,
      runner,
      service,
      version,
      endedAt,
      seenBy: [this.parameters.host],
      disproved: false,
      suspicions: runs.map(({ fingerprint, startedAt }) => ({
        fingerprint,
        startedAt,
        cleared: false,
      })),
    };
    const change = this.#merge([report]);
    if (change.hasNewFacts) this.#send([report], change.quarantined);
  }

  /** A runner was heard after its end was told: it had not ended. */
  disproveCrash(incarnation: string): void {
    const report = this.#ledger.crashReportOf(incarnation);
    if (!report || report.disproved) return;
    const disproof = { ...report, disproved: true };
    this.#removeRows(this.#merge([disproof]));
    this.#send([disproof], []);
    const { runner, seenBy } = report;
    const code = common.EventCode.RunnerEndDisproved;
    this.parameters.logger.event(code, { runner, seenBy });
  }

  /** Lives of runners that ended from one moment to another. */
  crashedIncarnations(earliest: number, latest: number): string[] {
    return this.#ledger.crashedIncarnations(earliest, latest);
  }

  /** When a life of a runner ended, if any entry saw it. */
  crashTimeOf(incarnation: string): number | undefined {
    return this.#ledger.crashTimeOf(incarnation);
  }

  /** Takes what another entry tells. */
  receive(message: wire.Suspicions, from: string): void {
    const now = common.now();
    const reports = message.ends.map((reported) =>
      suspicionsMessage.toReport(reported, now),
    );
    const change = this.#merge(reports, message.held);
    const relayed = this.parameters.relays && change.hasNewFacts ? reports : [];
    // The sender may lack the ends that others saw, and with them the proof.
    const senderKnows = change.quarantined.every((fingerprint) =>
      message.held.includes(fingerprint),
    );
    this.#send(relayed, change.quarantined, senderKnows ? from : undefined);
    for (const { life, endedAt, disproved } of reports) {
      if (!disproved) this.parameters.onReportedCrash(life, endedAt);
    }
  }

  /** What weighs most, for an entry that was just linked; `undefined` if nothing. */
  initialMessage(): wire.Suspicions | undefined {
    const reports = this.#ledger.mostSuspected(MAX_INITIAL_SUSPICIONS);
    if (reports.length === 0) return undefined;
    return suspicionsMessage.toMessage(reports, [...this.#ledger.quarantined]);
  }

  /** Requests that are held, for operators. */
  cases(): quarantineCase.QuarantineCase[] {
    return [...this.#ledger.quarantined].map((fingerprint) =>
      quarantineCase.caseOf({
        fingerprint,
        service: this.#ledger.serviceOf(fingerprint),
        crashes: this.#ledger.crashesUnder(fingerprint),
        status: this.#trialStatusOf(fingerprint),
      }),
    );
  }

  /** What the state dump says of it. */
  describe(): unknown {
    return { ...this.#ledger.size, held: this.cases() };
  }

  #trialStatusOf(fingerprint: string): trialStatus.TrialStatus {
    return trialStatus.trialStatusOf({
      crashes: this.#ledger.crashesUnder(fingerprint),
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
  #mayStartTrial(fingerprint: string): boolean {
    return this.#isOwner(fingerprint) && !this.#watched.hasTrial(fingerprint);
  }

  /** Whether this entry is the one that acts for all on a request. */
  #isOwner(fingerprint: string): boolean {
    const { host, entries } = this.parameters;
    return common.rendezvous(fingerprint, entries()) === host;
  }

  #clear(
    fingerprint: string,
    appliesTo: (report: { version: string }) => boolean,
  ): void {
    const reports = this.#ledger
      .reportsOn(fingerprint)
      .filter(appliesTo)
      .filter(({ suspicions }) => suspicions.some(({ cleared }) => !cleared))
      .map((report) => ({
        ...report,
        suspicions: report.suspicions.map((suspicion) => ({
          ...suspicion,
          cleared: true,
        })),
      }));
    if (reports.length === 0) return;
    this.#removeRows(this.#merge(reports));
    this.#send(reports, []);
  }

  #merge(
    reports: suspectLedger.CrashReport[],
    quarantinedElsewhere: string[] = [],
  ): suspectLedger.LedgerChange {
    const change = this.#ledger.merge(
      reports,
      common.now(),
      quarantinedElsewhere,
    );
    for (const fingerprint of change.quarantined)
      this.#onQuarantined(fingerprint);
    for (const fingerprint of change.stillQuarantined)
      this.#storeRow(fingerprint);
    for (const fingerprint of change.released) this.#onReleased(fingerprint);
    return change;
  }

  #onQuarantined(fingerprint: string): void {
    this.#released.delete(fingerprint);
    const { logger, metrics } = this.parameters;
    const service = this.#ledger.serviceOf(fingerprint);
    const crashes = this.#ledger
      .crashesUnder(fingerprint)
      .map(({ runner, version, seenBy }) => ({ runner, version, seenBy }));
    const code = common.EventCode.RequestQuarantined;
    logger.event(code, { fingerprint, service, ends: crashes });
    metrics.count(common.Metric.Quarantined, { service });
    this.#storeRow(fingerprint);
    this.#watched.stop(service, fingerprint);
  }

  #storeRow(fingerprint: string): void {
    if (!this.#isOwner(fingerprint)) return;
    const reports = this.#ledger.reportsOn(fingerprint);
    this.parameters.rows.store(fingerprint, reports);
  }

  /** The chosen entry may be cut off, so who found the reason drops rows as well. */
  #removeRows({ released }: suspectLedger.LedgerChange): void {
    for (const fingerprint of released)
      this.parameters.rows.remove(fingerprint);
  }

  #onReleased(fingerprint: string): void {
    this.#released.set(fingerprint, common.now());
    this.#watched.forgetTrial(fingerprint);
    if (this.#isOwner(fingerprint)) this.parameters.rows.remove(fingerprint);
    const code = common.EventCode.QuarantineEnded;
    this.parameters.logger.event(code, { fingerprint });
  }

  /** Tells reports, and of requests that are held all that speaks against them. */
  #send(
    reports: suspectLedger.CrashReport[],
    quarantined: string[],
    except?: string,
  ): void {
    const supporting = quarantined.flatMap((fingerprint) =>
      this.#ledger.reportsOn(fingerprint),
    );
    const sent = [...reports, ...supporting];
    if (sent.length === 0) return;
    this.parameters.send(
      suspicionsMessage.toMessage(sent, quarantined),
      except,
    );
  }

  #logCrash(crash: runnerCrash.RunnerCrash): void {
    const { runner, service, life, evidence, endedAt, runs } = crash;
    this.parameters.logger.event(common.EventCode.RunnerEnded, {
      runner,
      service,
      life,
      evidence,
      runs: runs.slice(0, MAX_LOGGED_RUNS).map((run) => ({
        request: run.request,
        fingerprint: run.fingerprint,
        milliseconds: Math.round(endedAt - run.startedAt),
      })),
      more: Math.max(0, runs.length - MAX_LOGGED_RUNS),
    });
  }
}
