import type * as http from "node:http";
import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as retryBudget from "../dispatch/retry_budget.ts";
import * as forwarderModule from "../forwarding/forwarder.ts";
import * as runnerTracker from "../forwarding/runner_tracker.ts";
import type * as runnerCaller from "../forwarding/runner_caller.ts";
import * as entryMesh from "../mesh/entry_mesh.ts";
import * as memberRows from "../mesh/member_rows.ts";
import * as epochConfirmation from "./epoch_confirmation.ts";
import * as crashReview from "../quarantine/crash_review.ts";
import * as crashDetector from "../quarantine/crash_detector.ts";
import * as quarantine from "../quarantine/quarantine.ts";
import * as quarantineRows from "../quarantine/quarantine_rows.ts";

/**
 * Fraction of the time allowed for revoking a key during which a configuration
 * may be used without a newer proof. The rest covers requests that wait after
 * they were admitted, and their way to the runner.
 */
const MAX_PROOF_AGE_FRACTION = 0.8;
/** Entries that poll the store; one more than needed, as one may crash. */
const STORE_POLLERS = 2;
/**
 * Age of the last proof at which the first entry beyond these polls the store
 * itself. It is longer than one poll takes. Each further entry waits longer by
 * the stagger, so that not all poll at once.
 */
const FALLBACK_AGE_MILLISECONDS = 1_400;
const FALLBACK_STAGGER_MILLISECONDS = 250;
/**
 * Fraction of the allowed retries that entries use; the rest covers unequal
 * load.
 */
const USED_RETRY_FRACTION = 0.7;
/** Minimum number of entries that the retry allowance is divided by. */
const MIN_ENTRIES = 6;
/**
 * Minimum duration of a drain. In this time callers notice that the entry is
 * leaving.
 */
const MIN_DRAIN_MILLISECONDS = 3_300;
/** A drain gives up this long before the process would be killed. */
const STOP_MARGIN_MILLISECONDS = 700;
/** How often a draining process checks whether all requests are answered. */
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 50;

/**
 * How often the runner list and the table epoch are checked if no change is
 * announced.
 */
const CHANGE_CHECK_INTERVAL_MILLISECONDS = 1_000;

/** What a gateway needs. */
export interface GatewayParameters {
  self: wire.MeshMember;
  seeds: { address: string; port: number }[];
  /** Maximum time for which a revoked key may still be served. */
  revocationMilliseconds: number;
  /** Time from the request to stop until the process is killed. */
  stopMilliseconds: number;
  /**
   * Retries allowed to all entries together in a window: `share` of the
   * requests, plus `allowance`.
   */
  retries: { share: number; allowance: number };
  table: backingServices.TableService;
  configurationSource: traffic.DocumentSource<traffic.TrafficConfiguration>;
  runnerSource: traffic.DocumentSource<traffic.RunnerList>;
  caller: runnerCaller.RunnerCaller;
  logger: common.Logger;
  metrics: common.Metrics;
  lifeCycle: common.LifeCycle;
  random: common.Random;
}

/**
 * An entry that forwards requests unchanged. It is ready once it knows the
 * routes and the runners, and while the proof of its configuration is recent
 * enough.
 */
export class Gateway {
  readonly configuration =
    new traffic.ProvenValue<traffic.TrafficConfiguration>();
  readonly runners = new traffic.ProvenValue<traffic.RunnerList>();
  readonly runnerTracker: runnerTracker.RunnerTracker;
  readonly forwarder: forwarderModule.Forwarder;
  readonly mesh: entryMesh.EntryMesh;
  readonly quarantine: quarantine.Quarantine;
  readonly endWatch: crashDetector.CrashDetector;
  readonly endReview: crashReview.CrashReview;
  readonly #rows: quarantineRows.QuarantineRows;
  readonly #confirmation: epochConfirmation.EpochConfirmation;
  /** The latest reading of the configuration from the store. */
  #latestReading: epochConfirmation.ConfigurationReading | undefined;
  readonly #budgets = new Map<string, retryBudget.RetryBudget>();
  readonly #maxProofAgeMilliseconds: number;
  #storeReachable = true;
  #stopping = false;

  constructor(readonly parameters: GatewayParameters) {
    const { self, random, logger, metrics, caller } = parameters;
    this.#maxProofAgeMilliseconds =
      parameters.revocationMilliseconds * MAX_PROOF_AGE_FRACTION;
    const { dataCentre } = self;
    this.runnerTracker = new runnerTracker.RunnerTracker({
      dataCentre,
      random,
      inLockStep: (service) => this.#inLockStep(service),
    });
    this.#rows = new quarantineRows.QuarantineRows(parameters);
    this.quarantine = new quarantine.Quarantine({
      host: self.host,
      entries: () => this.mesh.readyMembers().map(({ host }) => host),
      versionsOf: (service) => this.runnerTracker.versionsOf(service),
      send: (message, except) => this.mesh.broadcast(message, except),
      relays: false,
      onReportedCrash: (life, endedAt) =>
        this.endWatch.applyReportedCrash(life, endedAt),
      rows: quarantineRows.inBackground(this.#rows, parameters.lifeCycle),
      logger,
      metrics,
    });
    this.endWatch = new crashDetector.CrashDetector({
      presenceOf: (runner) => caller.presenceOf(runner),
      inUse: (runner) => this.runnerTracker.inUse(runner),
      crashTimeOf: (life) => this.quarantine.crashTimeOf(life),
      onCrash: (end) => this.quarantine.recordCrash(end),
    });
    this.endReview = new crashReview.CrashReview({
      clock: common.now,
      crashTimeOf: (life) => this.quarantine.crashTimeOf(life),
      crashedIncarnations: (earliest, latest) =>
        this.quarantine.crashedIncarnations(earliest, latest),
      onDisproved: (life) => this.quarantine.disproveCrash(life),
    });
    this.forwarder = new forwarderModule.Forwarder({
      configuration: this.configuration,
      proofAge: () => this.#proofAge,
      maxProofAgeMilliseconds: this.#maxProofAgeMilliseconds,
      tracker: this.runnerTracker,
      caller,
      budgetOf: (service) => this.#budgetOf(service),
      quarantine: this.quarantine,
      endWatch: this.endWatch,
      onAnswerStart: (runner) => this.endReview.reviewAnswer(runner),
      random,
      logger,
      metrics,
    });
    const rows = new memberRows.MemberRows(parameters.table);
    this.mesh = new entryMesh.EntryMesh({
      self,
      incarnation: common.randomIdentifier(),
      rows,
      seeds: parameters.seeds,
      configuration: this.configuration,
      runners: this.runners,
      ready: () => this.ready,
      storeReachable: () => this.#storeReachable,
      outstanding: () => this.runnerTracker.ownCounts(),
      onOutstanding: (host, counts) =>
        this.runnerTracker.setCountsOf(host, counts),
      suspicions: {
        receive: (message, host) => this.quarantine.receive(message, host),
        initialMessage: () => this.quarantine.initialMessage(),
      },
      random,
      logger,
      lifeCycle: parameters.lifeCycle,
    });
    this.#confirmation = new epochConfirmation.EpochConfirmation({
      rows,
      currentVersion: () => this.configuration.version,
      latestReading: () => this.#latestReading,
      lowestServedVersion: () => this.#lowestServedVersion(),
      isConfirmer: () => this.mesh.pollPosition() === 0,
      logger,
    });
  }

  /** Name of this host. */
  get host(): string {
    return this.parameters.self.host;
  }

  /** Data centre of this host. */
  get dataCentre(): string {
    return this.parameters.self.dataCentre;
  }

  /** Whether callers may be sent to this entry. */
  get ready(): boolean {
    if (this.#stopping || !this.runners.value) return false;
    return this.#proofAge <= this.#maxProofAgeMilliseconds;
  }

  /**
   * Milliseconds for which this entry may have missed a newer configuration.
   */
  get #proofAge(): number {
    return this.#confirmation.trusted ? this.configuration.age : Infinity;
  }

  /** Whether this process is about to stop. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Starts to follow the store and to link with the other entries. */
  start(linkServer: http.Server): void {
    const { lifeCycle, configurationSource, runnerSource } = this.parameters;
    this.mesh.start(linkServer);
    lifeCycle.run("configuration", (signal) =>
      this.#followDocument(
        "configuration",
        this.#recordReadings(configurationSource),
        this.configuration,
        signal,
      ),
    );
    lifeCycle.run("runners", (signal) =>
      this.#followDocument("runners", runnerSource, this.runners, signal),
    );
    lifeCycle.run("quarantine", async (signal) => {
      const restored = await this.#rows.read(signal);
      if (restored) this.quarantine.applyStoredReports(restored);
    });
    lifeCycle.run("board", (signal) => this.#updateTracker(signal));
    lifeCycle.run("confirm", (signal) => this.#confirmation.run(signal));
    lifeCycle.run("restore", (signal) => this.#restoreRowsAfterEpochs(signal));
  }

  /**
   * Entries that a caller may use now; all known entries if none reports that
   * it is ready.
   */
  entriesForCallers(): wire.MeshMember[] {
    const ready = this.mesh.readyMembers();
    return ready.length > 0 ? ready : this.mesh.knownMembers();
  }

  /**
   * Drains this entry. Resolves when all requests are answered and callers have
   * had time to notice that this entry is leaving, or shortly before the
   * process is killed. Callers use the list of entries that they received for
   * some seconds more, so requests are served until then.
   */
  async drain(): Promise<void> {
    const { logger, stopMilliseconds } = this.parameters;
    const startedAt = common.now();
    this.#stopping = true;
    const underWay = this.forwarder.underWay;
    logger.event(common.EventCode.DrainStarted, { underWay });
    await this.mesh.leave();
    const stopAfterMilliseconds = stopMilliseconds - STOP_MARGIN_MILLISECONDS;
    for (;;) {
      const elapsed = common.now() - startedAt;
      const wasNoticed = elapsed >= MIN_DRAIN_MILLISECONDS;
      if (elapsed >= stopAfterMilliseconds) break;
      if (wasNoticed && this.forwarder.underWay === 0) break;
      await common.sleep(DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
    const stillUnderWay = this.forwarder.underWay;
    logger.event(common.EventCode.DrainFinished, { underWay: stillUnderWay });
  }

  /** Returns the state dump. */
  describe(): unknown {
    return {
      ready: this.ready,
      stopping: this.#stopping,
      underWay: this.forwarder.underWay,
      configuration: {
        version: this.configuration.version,
        age: this.configuration.age,
      },
      runners: { version: this.runners.version, age: this.runners.age },
      board: this.runnerTracker.runners(),
      quarantine: this.quarantine.describe(),
      mesh: this.mesh.describe(),
    };
  }

  /**
   * Whether the ranks of a service run in lock-step, in groups. They do if the
   * layers of its engine are spread over experts.
   */
  #inLockStep(service: string): boolean {
    const services = this.configuration.value?.services ?? [];
    const shape = services.find(({ name }) => name === service)?.engine;
    return (shape?.layers ?? 0) > 0;
  }

  async #followDocument<T extends traffic.Versioned>(
    name: string,
    source: traffic.DocumentSource<T>,
    current: traffic.ProvenValue<T>,
    signal: AbortSignal,
  ): Promise<void> {
    const { random, logger } = this.parameters;
    await traffic.followDocument({
      name,
      source,
      held: current,
      restBelowAge: () => this.#restBelowAge(),
      onReachable: (reachable) => (this.#storeReachable = reachable),
      random,
      logger,
      signal,
    });
  }

  /** Wraps a source so that each reading is recorded with the table's epoch. */
  #recordReadings(
    source: traffic.DocumentSource<traffic.TrafficConfiguration>,
  ): traffic.DocumentSource<traffic.TrafficConfiguration> {
    const { epoch } = this.parameters.table;
    return {
      next: async (waitMilliseconds) => {
        const read = await source.next(waitMilliseconds);
        const version = read.isOk() ? read.value.value?.version : undefined;
        if (version !== undefined) {
          this.#latestReading = { epoch: epoch.number, version };
        }
        return read;
      },
    };
  }

  /**
   * Lowest version of the configuration at another entry that takes requests;
   * `undefined` if there is no such entry.
   */
  #lowestServedVersion(): number | undefined {
    const versions = this.mesh
      .known()
      .flatMap(({ beat }) => (beat?.ready ? [beat.configuration.version] : []));
    return versions.length > 0 ? Math.min(...versions) : undefined;
  }

  /**
   * Writes the rows of quarantined requests again whenever the table was
   * restored from a copy.
   */
  async #restoreRowsAfterEpochs(signal: AbortSignal): Promise<void> {
    const { table, logger } = this.parameters;
    let knownEpoch = table.epoch.number;
    while (!signal.aborted) {
      await table.epoch.began.next(CHANGE_CHECK_INTERVAL_MILLISECONDS, signal);
      const { number: epoch, sawBegin } = table.epoch;
      if (epoch === knownEpoch) continue;
      knownEpoch = epoch;
      if (!sawBegin) continue;
      const quarantine = this.quarantine.repairRows();
      const code = common.EventCode.TableRowsRestored;
      logger.event(code, { epoch, rows: { entry: 1, quarantine } });
    }
  }

  /**
   * Proof age in milliseconds up to which this entry relies on other entries to
   * poll the store; 0 if this entry is one that polls.
   */
  #restBelowAge(): number {
    const index = this.mesh.pollPosition() - STORE_POLLERS;
    if (index < 0) return 0;
    return FALLBACK_AGE_MILLISECONDS + index * FALLBACK_STAGGER_MILLISECONDS;
  }

  /**
   * Passes each new runner list to the tracker and to the checks for crashes.
   */
  async #updateTracker(signal: AbortSignal): Promise<void> {
    let version = -1;
    while (!signal.aborted) {
      const list = this.runners.value;
      if (list && list.version !== version) {
        this.runnerTracker.update(list);
        this.endWatch.applyList(list);
      }
      if (list) this.endReview.reviewList(list, this.runners.age);
      version = list?.version ?? version;
      await this.runners.changes.next(
        CHANGE_CHECK_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  /** Returns the retry budget of a service, and creates it on first use. */
  #budgetOf(service: string): retryBudget.RetryBudget {
    const existing = this.#budgets.get(service);
    if (existing) return existing;
    const { share, allowance } = this.parameters.retries;
    const entries = Math.max(MIN_ENTRIES, this.mesh.size);
    const largestBalance = (allowance * USED_RETRY_FRACTION) / entries;
    const created = new retryBudget.RetryBudget({
      earnedPerRequest: share * USED_RETRY_FRACTION,
      maxBalance: largestBalance,
      // A process that restarts may have spent its balance just before.
      initialBalance: largestBalance / 2,
    });
    this.#budgets.set(service, created);
    return created;
  }
}
