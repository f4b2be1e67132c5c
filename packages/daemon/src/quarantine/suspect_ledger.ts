import * as crashCounts from "./crash_counts.ts";
import * as partKey from "./part_key.ts";
import * as partProof from "./part_proof.ts";
import type * as partSighting from "./part_sighting.ts";
import * as recordedCrash from "./recorded_crash.ts";
import * as suspectedPart from "./suspected_part.ts";

/**
 * Number of crashes above which the ledger removes some. Crashes for which a
 * request is in quarantine stay.
 */
const MAX_CRASHES = 4_000;
/**
 * Number of suspicions, of all crashes together, above which the ledger removes
 * some. Those of quarantined requests stay.
 */
const MAX_SUSPICIONS = 20_000;
/** Largest number of requests and prompt parts in quarantine at once. */
const MAX_QUARANTINED = 1_000;
/**
 * Time for which the ledger retains a crash: a day. Crashes for which a request
 * is in quarantine are retained longer.
 */
const RETENTION_MILLISECONDS = 24 * 3_600_000;

/**
 * A request that was under way on a runner when the runner crashed, or a part
 * of the prompts of such requests.
 */
export interface Suspicion {
  /** Fingerprint of the request, or key of the part. */
  fingerprint: string;
  /**
   * When the request was sent to the runner, by the monotonic clock of the
   * process that has this object. Messages contain ages instead.
   */
  startedAt: number;
  /**
   * Whether an answer or an operator has cleared the request or part of this
   * crash since.
   */
  cleared: boolean;
  /** What was seen of the part; set only for a part. */
  part?: partSighting.PartSighting;
}

/**
 * A report of a runner's crash with requests that were under way there. Entries
 * exchange such reports.
 */
export interface CrashReport {
  /** Identifies the incarnation of the runner that crashed. */
  life: string;
  runner: string;
  service: string;
  /** Version of the runner's software; empty if it is unknown. */
  version: string;
  /**
   * When the runner crashed, by the monotonic clock of the process that has
   * this object. Messages contain ages instead.
   */
  endedAt: number;
  /** Hosts of the entries that saw the crash. */
  seenBy: string[];
  /**
   * An entry has found that this incarnation still runs, so it had not crashed.
   */
  disproved: boolean;
  suspicions: Suspicion[];
}

/** What a merge of reports changed. Requests and parts are named by key. */
export interface LedgerChange {
  /**
   * Whether a report named a request for a crash for the first time, cleared it
   * or disproved its crash. Another time or witness of a known crash is nothing
   * new in this sense.
   */
  hasNewFacts: boolean;
  /** Requests that the merge put in quarantine, without those already there. */
  quarantined: string[];
  /** Requests that stay in quarantine and about which more is known now. */
  stillQuarantined: string[];
  /** Requests that the merge released from quarantine. */
  released: string[];
}

/** A crash of a runner during a run of one request. */
export interface CrashUnderRequest extends crashCounts.CrashedRun {
  runner: string;
  version: string;
  /** Hosts of the entries that saw the crash. */
  seenBy: string[];
}

/**
 * Records the runner crashes that entries report and the requests that were
 * under way at each, and decides which requests are quarantined. Reports
 * are merged as sets: a report may arrive several times, over several entries
 * and in any order, and each crash counts once, whichever entries saw it. A
 * flood of other suspicions does not push out quarantined requests.
 */
export class SuspectLedger {
  /** By incarnation, in order of arrival. */
  readonly #crashes = new Map<string, recordedCrash.RecordedCrash>();
  readonly #crashesByFingerprint = new Map<
    string,
    Set<recordedCrash.RecordedCrash>
  >();
  /** Keys of the parts that were seen at two crashes or more. */
  readonly #repeatedParts = new Set<string>();
  /** Keys of the requests and parts in quarantine. */
  readonly #quarantined = new Set<string>();
  /** By key, the time of the crash that put it in quarantine. */
  readonly #provedAt = new Map<string, number>();
  /** Number of suspicions of all crashes. */
  #suspicions = 0;

  /** Keys of the requests and parts in quarantine. */
  get quarantined(): ReadonlySet<string> {
    return this.#quarantined;
  }

  /** Time of the crash that put a request or part in quarantine. */
  provedAt(fingerprint: string): number {
    return this.#provedAt.get(fingerprint) ?? -Infinity;
  }

  /** Whether a key is that of a part which many requests carry. */
  isCommonPart(key: string): boolean {
    return (
      partKey.isPartKey(key) &&
      partProof.isCommon(this.#suspectedPart(key).frequency)
    );
  }

  /** Whether the ledger has no suspicion of any request. */
  get isEmpty(): boolean {
    return this.#crashesByFingerprint.size === 0;
  }

  /** Counts for the state dump: crashes, suspected requests, suspicions. */
  get size(): { ends: number; suspects: number; suspicions: number } {
    return {
      ends: this.#crashes.size,
      suspects: this.#crashesByFingerprint.size,
      suspicions: this.#suspicions,
    };
  }

  /**
   * When an incarnation crashed; `undefined` if no crash is recorded, or if it
   * was disproved.
   */
  crashTimeOf(incarnation: string): number | undefined {
    const crash = this.#crashes.get(incarnation);
    return crash && !crash.disproved ? crash.endedAt : undefined;
  }

  /**
   * Returns the crashes during runs of a request, in order of time, without
   * those that are disproved and those of which the request is cleared.
   */
  crashesUnder(fingerprint: string): CrashUnderRequest[] {
    const crashes: CrashUnderRequest[] = [];
    for (const crash of this.#crashesByFingerprint.get(fingerprint) ?? []) {
      const suspicion = crash.suspicions.get(fingerprint);
      if (crash.disproved || !suspicion || suspicion.cleared) continue;
      const { runner, version, endedAt, seenBy } = crash;
      const { startedAt } = suspicion;
      crashes.push({
        runner,
        version,
        startedAt,
        endedAt,
        seenBy: [...seenBy],
      });
    }
    return crashes.sort((left, right) => left.endedAt - right.endedAt);
  }

  /**
   * Service whose runners crashed during runs of a request; empty if there were
   * none.
   */
  serviceOf(fingerprint: string): string {
    const [first] = this.#crashesByFingerprint.get(fingerprint) ?? [];
    return first?.service ?? "";
  }

  /**
   * Returns the crash of an incarnation without its suspicions; `undefined` if
   * none is recorded.
   */
  crashReportOf(incarnation: string): CrashReport | undefined {
    const crash = this.#crashes.get(incarnation);
    return crash && { ...crash, seenBy: [...crash.seenBy], suspicions: [] };
  }

  /**
   * Incarnations that crashed from `earliest` to `latest`, without disproved
   * crashes.
   */
  crashedIncarnations(earliest: number, latest: number): string[] {
    return [...this.#crashes.values()]
      .filter(({ disproved }) => !disproved)
      .filter(({ endedAt }) => endedAt >= earliest && endedAt <= latest)
      .map(({ life }) => life);
  }

  /**
   * Returns reports of all crashes during runs of a request, each with the
   * suspicion of this request only.
   */
  reportsOn(fingerprint: string): CrashReport[] {
    const crashes = this.#crashesByFingerprint.get(fingerprint) ?? [];
    return [...crashes].map((crash) => reportOf(crash, fingerprint));
  }

  /** The same for those crashes of which the request is not cleared. */
  unclearedReportsOn(fingerprint: string): CrashReport[] {
    const crashes = this.#crashesByFingerprint.get(fingerprint) ?? [];
    return [...crashes]
      .filter(({ suspicions }) => !suspicions.get(fingerprint)?.cleared)
      .map((crash) => reportOf(crash, fingerprint));
  }

  /**
   * Returns reports with at most `maxSuspicions` suspicions. Suspicions of
   * requests with many crashes take precedence over those of requests with few;
   * for equal numbers, those of later crashes take precedence.
   */
  mostSuspected(maxSuspicions: number): CrashReport[] {
    const pairs = [...this.#crashesByFingerprint].flatMap(
      ([fingerprint, crashes]) =>
        [...crashes].map((crash) => ({
          fingerprint,
          crash,
          crashCount: crashes.size,
        })),
    );
    pairs.sort(
      (left, right) =>
        right.crashCount - left.crashCount ||
        right.crash.endedAt - left.crash.endedAt,
    );
    const reports = new Map<recordedCrash.RecordedCrash, CrashReport>();
    for (const { fingerprint, crash } of pairs.slice(0, maxSuspicions)) {
      const report = reportOf(crash, fingerprint);
      const known = reports.get(crash);
      if (known) known.suspicions.push(...report.suspicions);
      else reports.set(crash, report);
    }
    return [...reports.values()];
  }

  /**
   * Merges reports from this entry, another entry or the rows of the table
   * service. `quarantinedAtSource` are fingerprints of requests that the other
   * entry or the rows have in quarantine. The ledger quarantines them as well
   * if it knows enough crashes, even if the runs overlap by its own clock:
   * clocks differ, and all entries are to treat a request alike.
   */
  merge(
    reports: CrashReport[],
    now: number,
    quarantinedAtSource: string[] = [],
  ): LedgerChange {
    const change: LedgerChange = {
      hasNewFacts: false,
      quarantined: [],
      stillQuarantined: [],
      released: [],
    };
    const atSource = new Set(quarantinedAtSource);
    const touched = new Set<string>();
    for (const report of reports) {
      if (!isRelevant(report, now, atSource)) continue;
      for (const fingerprint of this.#apply(report)) touched.add(fingerprint);
    }
    change.hasNewFacts = touched.size > 0;
    for (const fingerprint of touched) {
      if (!partKey.isPartKey(fingerprint))
        this.#reevaluate(fingerprint, change);
    }
    for (const fingerprint of atSource) {
      if (!partKey.isPartKey(fingerprint))
        this.#quarantineAsAtSource(fingerprint, change);
    }
    this.#reevaluateParts(touched, atSource, change);
    this.#enforceLimits(now);
    return change;
  }

  /**
   * Applies one report; returns the fingerprints of the requests about which it
   * contains anything new.
   */
  #apply(report: CrashReport): Set<string> {
    const touched = new Set<string>();
    const crash = this.#crashes.get(report.life) ?? this.#record(report);
    if (report.disproved && !crash.disproved) {
      crash.disproved = true;
      for (const fingerprint of crash.suspicions.keys())
        touched.add(fingerprint);
    }
    crash.endedAt = Math.min(crash.endedAt, report.endedAt);
    for (const host of report.seenBy) crash.seenBy.add(host);
    for (const suspicion of report.suspicions) {
      if (this.#addSuspicion(crash, suspicion))
        touched.add(suspicion.fingerprint);
    }
    return touched;
  }

  #record(report: CrashReport): recordedCrash.RecordedCrash {
    const crash: recordedCrash.RecordedCrash = {
      ...report,
      disproved: false,
      seenBy: new Set(),
      suspicions: new Map(),
      begun: new Set(),
    };
    this.#crashes.set(report.life, crash);
    return crash;
  }

  /**
   * Records that a request was under way at a crash; returns whether that was
   * new.
   */
  #addSuspicion(
    crash: recordedCrash.RecordedCrash,
    suspicion: Suspicion,
  ): boolean {
    const { fingerprint, ...facts } = suspicion;
    const known = crash.suspicions.get(fingerprint);
    for (const request of facts.part?.begun ?? []) crash.begun.add(request);
    if (!known) {
      crash.suspicions.set(fingerprint, facts);
      const crashes = this.#crashesByFingerprint.get(fingerprint) ?? new Set();
      this.#crashesByFingerprint.set(fingerprint, crashes.add(crash));
      if (crashes.size > 1 && partKey.isPartKey(fingerprint))
        this.#repeatedParts.add(fingerprint);
      this.#suspicions++;
      return true;
    }
    const hasNewRequests = recordedCrash.joinSuspicions(known, facts);
    if (known.cleared || !facts.cleared) return hasNewRequests;
    known.cleared = true;
    return true;
  }

  /**
   * Quarantines and releases parts after the crashes of some have changed. Parts
   * are judged together, as a crash that one explains is not held against others.
   */
  #reevaluateParts(
    touched: ReadonlySet<string>,
    atSource: ReadonlySet<string>,
    change: LedgerChange,
  ): void {
    const changed = [...touched, ...atSource].filter(partKey.isPartKey);
    if (changed.length === 0) return;
    const parts = [...this.#repeatedParts].map((key) =>
      this.#suspectedPart(key),
    );
    const before = [...this.#quarantined].filter(partKey.isPartKey);
    const proven = partProof.provenParts(
      parts,
      new Set([...before, ...atSource]),
    );
    for (const key of before) {
      if (!proven.has(key)) {
        this.#release(key);
        change.released.push(key);
      } else if (touched.has(key)) change.stillQuarantined.push(key);
    }
    for (const key of proven) {
      if (!this.#quarantined.has(key)) this.#quarantine(key, change);
    }
  }

  #suspectedPart(key: string): partProof.SuspectedPart {
    const crashes = this.#crashesByFingerprint.get(key) ?? [];
    return suspectedPart.suspectedPart(key, crashes);
  }

  /** Quarantines or releases a request after its crashes have changed. */
  #reevaluate(fingerprint: string, change: LedgerChange): void {
    const crashes = this.crashesUnder(fingerprint);
    if (this.#quarantined.has(fingerprint)) {
      const stays = crashes.length >= crashCounts.QUARANTINE_THRESHOLD.crashes;
      if (!stays) this.#release(fingerprint);
      const list = stays ? change.stillQuarantined : change.released;
      list.push(fingerprint);
      return;
    }
    if (!crashCounts.reachesThreshold(crashCounts.countCrashes(crashes)))
      return;
    this.#quarantine(fingerprint, change);
  }

  /**
   * Quarantines a request that another entry or the table service has in
   * quarantine, if enough crashes are known here.
   */
  #quarantineAsAtSource(fingerprint: string, change: LedgerChange): void {
    if (this.#quarantined.has(fingerprint)) return;
    if (
      this.crashesUnder(fingerprint).length <
      crashCounts.QUARANTINE_THRESHOLD.crashes
    )
      return;
    this.#quarantine(fingerprint, change);
  }

  /**
   * Puts a request in quarantine. If there are too many, releases the one whose
   * last crash is the oldest: callers have probably stopped sending it.
   */
  #quarantine(fingerprint: string, change: LedgerChange): void {
    this.#quarantined.add(fingerprint);
    this.#provedAt.set(fingerprint, this.#timeOfProof(fingerprint));
    const evicted = this.#requestToEvict();
    if (evicted !== undefined) this.#release(evicted);
    if (evicted === fingerprint) return;
    change.quarantined.push(fingerprint);
    if (evicted !== undefined) change.released.push(evicted);
  }

  /**
   * Time of the crash that completes the proof against a request or part. All
   * crashes may be known at once, from another entry or a row; those that come
   * after the proof are of trials.
   */
  #timeOfProof(fingerprint: string): number {
    const needed = this.isCommonPart(fingerprint)
      ? partProof.PART_THRESHOLD.crashesOfCommon
      : crashCounts.QUARANTINE_THRESHOLD.crashes;
    const proving = this.crashesUnder(fingerprint).slice(0, needed);
    return proving.at(-1)?.endedAt ?? -Infinity;
  }

  #release(fingerprint: string): void {
    this.#quarantined.delete(fingerprint);
    this.#provedAt.delete(fingerprint);
  }

  /** The request to release if too many are in quarantine, else `undefined`. */
  #requestToEvict(): string | undefined {
    if (this.#quarantined.size <= MAX_QUARANTINED) return undefined;
    const byLastCrash = [...this.#quarantined].map((fingerprint) => {
      const endedAt =
        this.crashesUnder(fingerprint).at(-1)?.endedAt ?? -Infinity;
      return { fingerprint, endedAt };
    });
    byLastCrash.sort((left, right) => left.endedAt - right.endedAt);
    return byLastCrash[0].fingerprint;
  }

  /**
   * Goes through the crashes in order of arrival and removes them while they
   * are old or there are too many; stops at the first other one. If there are
   * still too many suspicions, removes those of requests with a single crash,
   * then others, oldest first. Quarantined requests stay.
   */
  #enforceLimits(now: number): void {
    const oldest = now - RETENTION_MILLISECONDS;
    for (const crash of this.#crashes.values()) {
      const full = this.#crashes.size > MAX_CRASHES;
      if (crash.endedAt >= oldest && !full) break;
      this.#removeSuspicions(
        crash,
        (fingerprint) => !this.#quarantined.has(fingerprint),
      );
      if (crash.suspicions.size === 0) this.#crashes.delete(crash.life);
    }
    if (this.#suspicions <= MAX_SUSPICIONS) return;
    this.#evictSuspicions(
      (fingerprint) => this.#crashesByFingerprint.get(fingerprint)?.size === 1,
    );
    this.#evictSuspicions((fingerprint) => !this.#quarantined.has(fingerprint));
  }

  #evictSuspicions(mayEvict: (fingerprint: string) => boolean): void {
    for (const crash of this.#crashes.values()) {
      if (this.#suspicions <= MAX_SUSPICIONS) return;
      this.#removeSuspicions(crash, mayEvict);
    }
  }

  #removeSuspicions(
    crash: recordedCrash.RecordedCrash,
    mayRemove: (fingerprint: string) => boolean,
  ): void {
    for (const fingerprint of crash.suspicions.keys()) {
      if (!mayRemove(fingerprint)) continue;
      crash.suspicions.delete(fingerprint);
      this.#suspicions--;
      const crashes = this.#crashesByFingerprint.get(fingerprint);
      crashes?.delete(crash);
      if (!crashes || crashes.size < 2) this.#repeatedParts.delete(fingerprint);
      if (crashes?.size === 0) this.#crashesByFingerprint.delete(fingerprint);
    }
  }
}

/**
 * Whether a crash is recent enough to be recorded, or concerns a request that
 * the source of the report has in quarantine.
 */
function isRelevant(
  { endedAt, suspicions }: CrashReport,
  now: number,
  quarantined: ReadonlySet<string>,
): boolean {
  if (endedAt >= now - RETENTION_MILLISECONDS) return true;
  return suspicions.some(({ fingerprint }) => quarantined.has(fingerprint));
}

/** Returns a crash with the suspicion of one request only. */
function reportOf(
  crash: recordedCrash.RecordedCrash,
  fingerprint: string,
): CrashReport {
  const known = crash.suspicions.get(fingerprint);
  const suspicions = known ? [{ fingerprint, ...known }] : [];
  return { ...crash, seenBy: [...crash.seenBy], suspicions };
}
