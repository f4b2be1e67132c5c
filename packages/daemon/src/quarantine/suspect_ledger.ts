import * as crashCounts from "./crash_counts.ts";

/** Runners' ends that are remembered, at most. */
const MAX_CRASHES = 4_000;
/** Requests remembered for all ends together, at most. */
const MAX_SUSPICIONS = 20_000;
/** Requests held at once, at most. */
const MAX_QUARANTINED_REQUESTS = 1_000;
/** Time for which a runner's end is remembered, in milliseconds: a day. */
const RETENTION_MILLISECONDS = 24 * 3_600_000;

/** A request that was under way when a runner ended. */
export interface Suspicion {
  fingerprint: string;
  /** When it was sent there, by this process's clock. */
  startedAt: number;
  /** A whole answer or an operator spoke for it since. */
  cleared: boolean;
}

/** A runner's end and the requests that were under way there, as one entry tells it. */
export interface CrashReport {
  /** Names one life of the runner. */
  life: string;
  runner: string;
  service: string;
  /** Version of its software; empty if it is not known. */
  version: string;
  /** By this process's clock. */
  endedAt: number;
  /** Entries that saw it. */
  seenBy: string[];
  /** The runner was heard again: it had not ended. */
  disproved: boolean;
  suspicions: Suspicion[];
}

/** What a report changed. */
export interface LedgerChange {
  /** Whether anything in it was news. */
  hasNewFacts: boolean;
  /** Requests that are held from now on. */
  quarantined: string[];
  /** Requests that stay held, of which more is known now. */
  stillQuarantined: string[];
  /** Requests that are held no more. */
  released: string[];
}

interface RecordedSuspicion {
  startedAt: number;
  cleared: boolean;
}

interface RecordedCrash extends Omit<CrashReport, "seenBy" | "suspicions"> {
  seenBy: Set<string>;
  suspicions: Map<string, RecordedSuspicion>;
}

/** An end with the run of one request there. */
export interface CrashUnderRequest extends crashCounts.CrashedRun {
  runner: string;
  version: string;
  seenBy: string[];
}

/**
 * Ends of runners, as all entries report them, and the requests that were under way at
 * each. Reports are merged as sets: a report may come twice, by several ways and in any
 * order, and each runner's end counts once, whoever saw it. What is held for good
 * reason stays when a flood of other suspects comes.
 */
export class SuspectLedger {
  readonly #crashes = new Map<string, RecordedCrash>();
  readonly #crashesByFingerprint = new Map<string, Set<RecordedCrash>>();
  /** Requests that are proved to end their runners. */
  readonly #quarantined = new Set<string>();
  #suspicions = 0;

  /** Requests that are held. */
  get quarantined(): ReadonlySet<string> {
    return this.#quarantined;
  }

  /** Whether any request is under suspicion. */
  get isEmpty(): boolean {
    return this.#crashesByFingerprint.size === 0;
  }

  /** Numbers for the state dump. */
  get size(): { ends: number; suspects: number; suspicions: number } {
    return {
      ends: this.#crashes.size,
      suspects: this.#crashesByFingerprint.size,
      suspicions: this.#suspicions,
    };
  }

  /** When a life of a runner ended, if it is known to have. */
  crashTimeOf(incarnation: string): number | undefined {
    const crash = this.#crashes.get(incarnation);
    return crash && !crash.disproved ? crash.endedAt : undefined;
  }

  /** Ends under which a request was under way, and for which nothing cleared it. */
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

  /** Service whose runners ended under a request. */
  serviceOf(fingerprint: string): string {
    const [first] = this.#crashesByFingerprint.get(fingerprint) ?? [];
    return first?.service ?? "";
  }

  /** What is known of one life's end, but for the requests. */
  crashReportOf(incarnation: string): CrashReport | undefined {
    const crash = this.#crashes.get(incarnation);
    return crash && { ...crash, seenBy: [...crash.seenBy], suspicions: [] };
  }

  /** Ends that are not disproved, from `earliest` to `latest`. */
  crashedIncarnations(earliest: number, latest: number): string[] {
    return [...this.#crashes.values()]
      .filter(({ disproved }) => !disproved)
      .filter(({ endedAt }) => endedAt >= earliest && endedAt <= latest)
      .map(({ life }) => life);
  }

  /** Reports that tell all that is known of a request. */
  reportsOn(fingerprint: string): CrashReport[] {
    const crashes = this.#crashesByFingerprint.get(fingerprint) ?? [];
    return [...crashes].map((crash) => reportOf(crash, fingerprint));
  }

  /** Reports of requests that were under way at the most ends, and at the latest. */
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
    const reports = new Map<RecordedCrash, CrashReport>();
    for (const { fingerprint, crash } of pairs.slice(0, maxSuspicions)) {
      const report = reportOf(crash, fingerprint);
      const known = reports.get(crash);
      if (known) known.suspicions.push(...report.suspicions);
      else reports.set(crash, report);
    }
    return [...reports.values()];
  }

  /**
   * Takes reports, of this entry or of another, and what the other holds: clocks differ,
   * and all entries are to do the same.
   */
  merge(
    reports: CrashReport[],
    now: number,
    quarantinedElsewhere: string[] = [],
  ): LedgerChange {
    const change: LedgerChange = {
      hasNewFacts: false,
      quarantined: [],
      stillQuarantined: [],
      released: [],
    };
    const elsewhere = new Set(quarantinedElsewhere);
    const touched = new Set<string>();
    for (const report of reports) {
      if (!isRetained(report, now, elsewhere)) continue;
      for (const fingerprint of this.#apply(report)) touched.add(fingerprint);
    }
    change.hasNewFacts = touched.size > 0;
    for (const fingerprint of touched) this.#reevaluate(fingerprint, change);
    for (const fingerprint of elsewhere)
      this.#quarantineAsElsewhere(fingerprint, change);
    this.#enforceLimits(now);
    return change;
  }

  /** Takes one report; the requests of which it says anything new. */
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

  #record(report: CrashReport): RecordedCrash {
    const crash: RecordedCrash = {
      ...report,
      disproved: false,
      seenBy: new Set(),
      suspicions: new Map(),
    };
    this.#crashes.set(report.life, crash);
    return crash;
  }

  /** Notes a request under way at an end; whether that is news. */
  #addSuspicion(crash: RecordedCrash, suspicion: Suspicion): boolean {
    const { fingerprint, startedAt, cleared } = suspicion;
    const known = crash.suspicions.get(fingerprint);
    if (!known) {
      crash.suspicions.set(fingerprint, { startedAt, cleared });
      const crashes = this.#crashesByFingerprint.get(fingerprint) ?? new Set();
      this.#crashesByFingerprint.set(fingerprint, crashes.add(crash));
      this.#suspicions++;
      return true;
    }
    known.startedAt = Math.min(known.startedAt, startedAt);
    if (known.cleared || !cleared) return false;
    known.cleared = true;
    return true;
  }

  #reevaluate(fingerprint: string, change: LedgerChange): void {
    const crashes = this.crashesUnder(fingerprint);
    if (this.#quarantined.has(fingerprint)) {
      const stays = crashes.length >= crashCounts.QUARANTINE_THRESHOLD.crashes;
      if (!stays) this.#quarantined.delete(fingerprint);
      const list = stays ? change.stillQuarantined : change.released;
      list.push(fingerprint);
      return;
    }
    if (!crashCounts.reachesThreshold(crashCounts.countCrashes(crashes)))
      return;
    this.#quarantine(fingerprint, change);
  }

  #quarantineAsElsewhere(fingerprint: string, change: LedgerChange): void {
    if (this.#quarantined.has(fingerprint)) return;
    if (
      this.crashesUnder(fingerprint).length <
      crashCounts.QUARANTINE_THRESHOLD.crashes
    )
      return;
    this.#quarantine(fingerprint, change);
  }

  /** Holds a request; if there are too many, the one that nobody sent for longest goes. */
  #quarantine(fingerprint: string, change: LedgerChange): void {
    this.#quarantined.add(fingerprint);
    const evicted = this.#requestToEvict();
    if (evicted !== undefined) this.#quarantined.delete(evicted);
    if (evicted === fingerprint) return;
    change.quarantined.push(fingerprint);
    if (evicted !== undefined) change.released.push(evicted);
  }

  #requestToEvict(): string | undefined {
    if (this.#quarantined.size <= MAX_QUARANTINED_REQUESTS) return undefined;
    const byLastCrash = [...this.#quarantined].map((fingerprint) => {
      const endedAt =
        this.crashesUnder(fingerprint).at(-1)?.endedAt ?? -Infinity;
      return { fingerprint, endedAt };
    });
    byLastCrash.sort((left, right) => left.endedAt - right.endedAt);
    return byLastCrash[0].fingerprint;
  }

  /** Keeps to the bounds: what is old goes, then what was seen once, oldest first. */
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
    crash: RecordedCrash,
    mayRemove: (fingerprint: string) => boolean,
  ): void {
    for (const fingerprint of crash.suspicions.keys()) {
      if (!mayRemove(fingerprint)) continue;
      crash.suspicions.delete(fingerprint);
      this.#suspicions--;
      const crashes = this.#crashesByFingerprint.get(fingerprint);
      crashes?.delete(crash);
      if (crashes?.size === 0) this.#crashesByFingerprint.delete(fingerprint);
    }
  }
}

/** Whether a report is young enough, or speaks against a request that is held. */
function isRetained(
  { endedAt, suspicions }: CrashReport,
  now: number,
  quarantined: ReadonlySet<string>,
): boolean {
  if (endedAt >= now - RETENTION_MILLISECONDS) return true;
  return suspicions.some(({ fingerprint }) => quarantined.has(fingerprint));
}

/** What is known of one request at an end. */
function reportOf(crash: RecordedCrash, fingerprint: string): CrashReport {
  const known = crash.suspicions.get(fingerprint);
  const suspicions = known ? [{ fingerprint, ...known }] : [];
  return { ...crash, seenBy: [...crash.seenBy], suspicions };
}
