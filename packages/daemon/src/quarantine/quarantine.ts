import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as crashSuspicions from "./crash_suspicions.ts";
import * as partKey from "./part_key.ts";
import * as recentParts from "./recent_parts.ts";
import type * as runnerCrash from "./runner_crash.ts";
import * as quarantineCase from "./quarantine_case.ts";
import * as trialStatus from "./trial_status.ts";
import * as suspectLedger from "./suspect_ledger.ts";
import * as suspicionLimit from "./suspicion_limit.ts";
import * as suspicionsMessage from "./suspicions_message.ts";
import * as watchedRequests from "./watched_requests.ts";

/** Largest number of runs that one log line lists. */
const MAX_LOGGED_RUNS = 16;
/** Largest number of prompt parts that a log line lists for a run. */
const MAX_LOGGED_PARTS = 16;
/**
 * Time after which a caller is to send a quarantined request again if a trial
 * of it is allowed, but not here and now: its trial is under way, its last
 * trial started only just before, or another entry runs its trials.
 */
const TRIAL_RETRY_MILLISECONDS = 1_000;
/**
 * Time for which a released request is remembered. If the table service is
 * restored from a copy that still has the request's row, `repairRows` can then
 * remove the row again.
 */
const RELEASE_RETENTION_MILLISECONDS = 60_000;
/**
 * Largest number of suspicions that an entry reports to a newly linked entry.
 */
const MAX_INITIAL_SUSPICIONS = 2_000;

/** What the quarantine needs of its entry. */
export interface QuarantineParameters {
  /** Host of this entry. */
  host: string;
  /** Hosts of the entries that accept requests, this one included. */
  entries: () => string[];
  /**
   * Versions of the runners that a service has now; empty if it has no runners
   * or if this entry does not know their versions. A runner that does not
   * report its version counts with an empty string.
   */
  versionsOf: (service: string) => ReadonlySet<string>;
  /** Sends a message to all linked entries except one. */
  send: (message: wire.Suspicions, except?: string) => void;
  /**
   * Whether this entry relays new reports that it receives; needed if some
   * pairs of entries are not linked.
   */
  relays: boolean;
  /** Called with each crash that another entry reports. */
  onReportedCrash: (incarnation: string, endedAt: number) => void;
  /** Rows of quarantined requests in the platform's table service. */
  rows: {
    store: (fingerprint: string, reports: suspectLedger.CrashReport[]) => void;
    remove: (fingerprint: string) => void;
  };
  logger: common.Logger;
  metrics: common.Metrics;
}

/**
 * Quarantines requests that crash the runners that run them, and parts of
 * prompts that do so in whatever request. Each entry reports to the others which
 * requests were under way when a runner crashed; a request that was under way at
 * a crash, or a part of its prompt, is a suspicion in the report of the crash. A
 * request or part that was under way at several crashes, with no answer since,
 * is quarantined: it is sent to no runner, except for trials that show whether
 * it still crashes runners. Requests are named by fingerprint and parts by key;
 * what is said below of requests holds for parts as well.
 *
 * A complete answer or an operator clears a request of crashes, and a crash is
 * disproved if its runner is found to run. A request is released from
 * quarantine once too few crashes count against it, or if too many requests are
 * in quarantine.
 */
export class Quarantine {
  readonly #ledger = new suspectLedger.SuspectLedger();
  readonly #watched = new watchedRequests.WatchedRequests();
  readonly #limit = new suspicionLimit.SuspicionLimit();
  readonly #recent = new recentParts.RecentParts();
  /** By fingerprint, when a request was released from quarantine. */
  readonly #released = new Map<string, number>();

  constructor(readonly parameters: QuarantineParameters) {}

  /**
   * Watches a request that is under way, until the returned function is called.
   * If the request is quarantined meanwhile, the quarantine stops it.
   */
  watch(request: watchedRequests.WatchedRequest): () => void {
    this.#recent.note(request.service, request.promptParts);
    return this.#watched.watch(request);
  }

  /** Whether any whole request for a service is in quarantine. */
  hasQuarantined(service: string): boolean {
    for (const fingerprint of this.#ledger.quarantined) {
      if (partKey.isPartKey(fingerprint)) continue;
      if (this.#ledger.serviceOf(fingerprint) === service) return true;
    }
    return false;
  }

  /**
   * Milliseconds after which a caller is to send a request again; 0 if the
   * request may be sent to a runner now. For a request that may be tried, but
   * not here and now, this is `TRIAL_RETRY_MILLISECONDS`, after which this
   * entry may still not send it.
   */
  remainingMilliseconds(request: watchedRequests.WatchedRequest): number {
    const keys = this.#quarantinedKeysOf(request);
    if (keys.length === 0) return 0;
    const held = keys.map((key) => this.#heldMilliseconds(key));
    const longest = Math.max(...held);
    if (longest > 0) return longest;
    return this.#mayStartTrial(keys) ? 0 : TRIAL_RETRY_MILLISECONDS;
  }

  /**
   * Key under which a request is in quarantine: of a part of its prompt, or its
   * fingerprint; `undefined` if it is not.
   */
  quarantinedKeyOf(
    request: watchedRequests.WatchedRequest,
  ): string | undefined {
    return this.#quarantinedKeysOf(request).at(0);
  }

  /**
   * Admits a request just before it is sent to a runner: returns 0 if the
   * request may be sent, else the milliseconds of `remainingMilliseconds`. If
   * the request is in quarantine and may be sent, this starts its trial: while
   * the trial is under way, no other request with its fingerprint may be sent.
   */
  admit(request: watchedRequests.WatchedRequest): number {
    const milliseconds = this.remainingMilliseconds(request);
    if (milliseconds > 0) return milliseconds;
    for (const key of this.#quarantinedKeysOf(request))
      this.#watched.startTrial(request, key);
    return 0;
  }

  /**
   * Records that a runner with this version gave a complete answer to a
   * request. This clears the request of crashes of runners with this version.
   * The answer to a trial clears the request of all crashes: otherwise a
   * request that is tried because the crashed version was replaced would stay
   * in quarantine for the crashes of the old version.
   */
  answered(request: watchedRequests.WatchedRequest, version: string): void {
    if (this.#ledger.isEmpty) return;
    const isTrialAnswer = this.#watched.isTrialRequest(request);
    // A request that runners of one version complete may still crash runners of
    // another.
    this.#clear(
      request.fingerprint,
      (report) => isTrialAnswer || report.version === version,
    );
  }

  /**
   * Records that a runner with this version began to write an answer to a
   * request at `since` and went on, so it stood the parts of the prompt. This
   * clears the parts of earlier crashes of runners with this version, not of
   * later ones: the part may crash runners from some moment on. A trial clears
   * the parts that it tried of all crashes.
   */
  wrote(
    request: watchedRequests.WatchedRequest,
    version: string,
    since: number,
  ): void {
    if (this.#ledger.isEmpty) return;
    const { service, promptParts } = request;
    for (const part of promptParts) {
      const key = partKey.partKey(service, part);
      const isTrial = this.#watched.isTrialRequest(request, key);
      this.#clear(
        key,
        (report) =>
          isTrial || (report.version === version && report.endedAt < since),
      );
    }
  }

  /**
   * Releases a request that an operator considers harmless, by clearing it of
   * all crashes; returns false if it is not in quarantine.
   */
  lift(fingerprint: string): boolean {
    if (!this.#ledger.quarantined.has(fingerprint)) return false;
    this.#clear(fingerprint, () => true);
    return true;
  }

  /**
   * Applies reports that were read from the rows of the table service, and
   * quarantines their requests. The rows remain while no entry runs.
   */
  applyStoredReports(reports: suspectLedger.CrashReport[]): void {
    const quarantined = reports.flatMap(({ suspicions }) =>
      suspicions.map(({ fingerprint }) => fingerprint),
    );
    this.#merge(reports, quarantined);
  }

  /**
   * Repairs the rows after the table service was restored from a copy: writes
   * those that it has lost, and removes those of released requests. Returns the
   * number of rows that this entry owns and writes or removes.
   */
  repairRows(): number {
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

  /**
   * Records a crash of a runner that interrupted requests of this entry, and
   * reports it to the other entries.
   */
  recordCrash(crash: runnerCrash.RunnerCrash): void {
    this.#logCrash(crash);
    const { life, runner, service, version, endedAt } = crash;
    const suspicions = this.#limit.select(
      crashSuspicions.suspicionsOf(crash, this.#recent.countsOf(service)),
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
      suspicions,
    };
    const change = this.#merge([report]);
    if (change.hasNewFacts) this.#send([report], change.quarantined);
  }

  /**
   * Records that the reported crash of an incarnation did not happen, because
   * the incarnation still runs, and reports this to the other entries.
   */
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

  /**
   * Incarnations that crashed from `earliest` to `latest`, without disproved
   * crashes.
   */
  crashedIncarnations(earliest: number, latest: number): string[] {
    return this.#ledger.crashedIncarnations(earliest, latest);
  }

  /**
   * When an incarnation crashed; `undefined` if no crash of it is recorded, or
   * if the recorded crash was disproved.
   */
  crashTimeOf(incarnation: string): number | undefined {
    return this.#ledger.crashTimeOf(incarnation);
  }

  /**
   * Applies a message of another entry. Sends other entries what they may not
   * know: reports to relay, and all crashes during runs of the requests that
   * the message put in quarantine.
   */
  receive(message: wire.Suspicions, from: string): void {
    const now = common.now();
    const reports = message.ends.map((reported) =>
      suspicionsMessage.fromWire(reported, now),
    );
    const change = this.#merge(reports, message.held);
    const relayed = this.parameters.relays && change.hasNewFacts ? reports : [];
    // If the sender has all these requests in quarantine, nothing is sent back
    // to it. Otherwise it may lack crashes that other entries saw, and so may
    // not know that a request is to be quarantined.
    const senderQuarantinesAll = change.quarantined.every((fingerprint) =>
      message.held.includes(fingerprint),
    );
    this.#send(
      relayed,
      change.quarantined,
      senderQuarantinesAll ? from : undefined,
    );
    for (const { life, endedAt, disproved } of reports) {
      if (!disproved) this.parameters.onReportedCrash(life, endedAt);
    }
  }

  /**
   * Returns the message for a newly linked entry, with the most suspected
   * requests; `undefined` if no request is suspected.
   */
  initialMessage(): wire.Suspicions | undefined {
    const reports = this.#ledger.mostSuspected(MAX_INITIAL_SUSPICIONS);
    if (reports.length === 0) return undefined;
    return suspicionsMessage.toMessage(reports, [...this.#ledger.quarantined]);
  }

  /** Describes the quarantined requests for operators. */
  cases(): quarantineCase.QuarantineCase[] {
    return [...this.#ledger.quarantined].map((fingerprint) =>
      quarantineCase.caseOf({
        fingerprint,
        service: this.#ledger.serviceOf(fingerprint),
        crashes: this.#ledger.crashesUnder(fingerprint),
        provedAt: this.#ledger.provedAt(fingerprint),
        status: this.#trialStatusOf(fingerprint),
      }),
    );
  }

  /**
   * The quarantine's part of the state dump. `held` lists all quarantined
   * requests, including those that may be tried.
   */
  describe(): unknown {
    return { ...this.#ledger.size, held: this.cases() };
  }

  #trialStatusOf(fingerprint: string): trialStatus.TrialStatus {
    return trialStatus.trialStatusOf({
      crashes: this.#ledger.crashesUnder(fingerprint),
      provedAt: this.#ledger.provedAt(fingerprint),
      isCommon: this.#ledger.isCommonPart(fingerprint),
      versionsInUse: this.parameters.versionsOf(
        this.#ledger.serviceOf(fingerprint),
      ),
      now: common.now(),
    });
  }

  #quarantinedKeysOf(request: watchedRequests.WatchedRequest): string[] {
    const { quarantined } = this.#ledger;
    if (quarantined.size === 0) return [];
    return watchedRequests
      .keysOf(request)
      .filter((key) => quarantined.has(key));
  }

  /** Milliseconds until a quarantined request may be tried; 0 if it may be. */
  #heldMilliseconds(fingerprint: string): number {
    const status = this.#trialStatusOf(fingerprint);
    switch (status.kind) {
      case "held":
        return status.millisecondsLeft;
      case "on-trial":
        return 0;
    }
  }

  /**
   * Whether this entry may start a trial of a request that is in quarantine
   * under these keys. One entry runs the trials of a key, one at a time, so that
   * a failed trial crashes one runner only. Of several keys the first in order
   * decides, else a request with two of them might have no entry to try it.
   */
  #mayStartTrial(keys: string[]): boolean {
    const [first] = [...keys].sort();
    if (!this.#isOwner(first)) return false;
    return keys.every((key) => !this.#watched.hasTrial(key));
  }

  /**
   * Whether this entry is the one that writes the row of a request and runs its
   * trials.
   */
  #isOwner(fingerprint: string): boolean {
    const { host, entries } = this.parameters;
    return common.rendezvous(fingerprint, entries()) === host;
  }

  /**
   * Clears a request of all crashes for which `appliesTo` returns true. The
   * reports from `unclearedReportsOn` have suspicions of this request only, so
   * no other request is cleared.
   */
  #clear(
    fingerprint: string,
    appliesTo: (report: suspectLedger.CrashReport) => boolean,
  ): void {
    const reports = this.#ledger
      .unclearedReportsOn(fingerprint)
      .filter(appliesTo)
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
    quarantinedAtSource: string[] = [],
  ): suspectLedger.LedgerChange {
    const change = this.#ledger.merge(
      reports,
      common.now(),
      quarantinedAtSource,
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

  /**
   * Removes the rows of released requests. The entry that owns a row may be
   * unreachable, so the entry that found the reason for the release removes it
   * as well.
   */
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

  /**
   * Sends reports, and for each request in `quarantined`, which are those that
   * a merge has just put in quarantine, all crashes during its runs, so that
   * receivers can quarantine it as well.
   */
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
        progress: run.progress,
        parts: run.promptParts.slice(0, MAX_LOGGED_PARTS),
      })),
      more: Math.max(0, runs.length - MAX_LOGGED_RUNS),
    });
  }
}
