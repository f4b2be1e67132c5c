import type * as http from "node:http";
import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import type * as callerBounds from "../caller_connections/caller_bounds.ts";
import * as urgencyAdmission from "../admission/urgency_admission.ts";
import * as urgencyQueue from "../admission/urgency_queue.ts";
import * as forwarderModule from "../forwarding/forwarder.ts";
import * as runnerTracker from "../forwarding/runner_tracker.ts";
import type * as runnerClientModule from "../forwarding/runner_client.ts";
import type * as plannedStop from "../shutdown/planned_stop.ts";
import * as entriesOutside from "../evacuation/entries_outside.ts";
import * as evacuationsOfMesh from "../evacuation/evacuations_of_mesh.ts";
import type * as evacuationsModule from "../evacuation/evacuations.ts";
import * as entryMesh from "../mesh/entry_mesh.ts";
import * as memberRows from "../mesh/member_rows.ts";
import * as epochConfirmation from "./epoch_confirmation.ts";
import * as retryBudgets from "./retry_budgets.ts";
import * as crashReview from "../quarantine/crash_review.ts";
import * as crashDetector from "../quarantine/crash_detector.ts";
import * as quarantine from "../quarantine/quarantine.ts";
import * as rateLimits from "../rate_limit/rate_limits.ts";
import * as runnerRests from "../runner_rest/runner_rests.ts";
import * as quarantineRows from "../quarantine/quarantine_rows.ts";

/**
 * Fraction of the time allowed for revoking a key during which a configuration
 * may be used without a newer proof. The rest covers requests that wait after
 * they were admitted, and their way to the runner.
 */
const MAX_PROOF_AGE_FRACTION = 0.8;
/**
 * Entries that poll the store, the table service with the configuration and the
 * runners' registrations; one more than needed, as one may crash.
 */
const STORE_POLLERS = 2;
/**
 * Age of a document's last proof, that is, time since it was last certain to be
 * the newest, at which the first entry that is not among the `STORE_POLLERS`
 * polls the store itself. It is longer than one poll takes. Each further entry
 * waits longer by the stagger, so that not all poll at once.
 */
const FALLBACK_AGE_MILLISECONDS = 1_400;
const FALLBACK_STAGGER_MILLISECONDS = 250;
/**
 * Minimum duration of a drain. In this time callers notice that the entry is
 * leaving.
 */
const MIN_DRAIN_MILLISECONDS = 3_300;
/** Time for the last messages of a drain to leave, at most. */
const LEAVE_MILLISECONDS = 200;
/**
 * Range of the delay after which callers that are refused by a stopping entry
 * are to come back: soon if another entry takes them, else when entries that
 * start anew are likely to be back.
 */
const RETRY_ELSEWHERE_MILLISECONDS = { least: 20, most: 100 };
const RETRY_ALONE_MILLISECONDS = { least: 500, most: 1_500 };
/** How often a draining process checks whether all requests are answered. */
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 50;

/**
 * How often the runner list and the table epoch are checked if no change is
 * announced.
 */
const CHANGE_CHECK_INTERVAL_MILLISECONDS = 1_000;

/** How often shares of rate limits are delegated and reported. */
const RATE_LIMIT_TICK_MILLISECONDS = 100;

/** What a gateway needs. */
export interface GatewayParameters {
  self: wire.MeshMember;
  seeds: { address: string; port: number }[];
  /** Maximum time for which a revoked key may still be served. */
  revocationMilliseconds: number;
  stop: plannedStop.PlannedStop;
  /** Bounds on what callers make the process hold. */
  bounds: callerBounds.CallerBounds;
  /**
   * Retries allowed for each service, at all entries together: `share` of the
   * requests, plus `allowance` in a window. The budgets know no window: they
   * use `allowance` as the upper bound of the retries that they save up.
   */
  retries: { share: number; allowance: number };
  table: backingServices.TableService;
  configurationSource: traffic.DocumentSource<traffic.TrafficConfiguration>;
  runnerSource: traffic.DocumentSource<traffic.RunnerList>;
  evacuationSource: traffic.DocumentSource<traffic.EvacuationList>;
  runnerClient: runnerClientModule.RunnerClient;
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
  readonly runners = new traffic.ProvenValue<traffic.RunnerList>(
    new traffic.ReadContinuity((moment) => this.mesh.heardAllSince(moment)),
  );
  /** Data centres whose runners get nothing new. */
  readonly evacuations: evacuationsModule.Evacuations;
  readonly runnerTracker: runnerTracker.RunnerTracker;
  readonly forwarder: forwarderModule.Forwarder;
  readonly mesh: entryMesh.EntryMesh;
  readonly quarantine: quarantine.Quarantine;
  /** Request rate limits that runners name, or that hold as they warm up. */
  readonly rateLimits: rateLimits.RateLimits;
  /** Rests that runners ask this entry for. */
  readonly rests: runnerRests.RunnerRests;
  /** Finds out which runners crashed while they ran requests. */
  readonly crashDetector: crashDetector.CrashDetector;
  /** Finds reports of crashes that did not happen. */
  readonly crashReview: crashReview.CrashReview;
  readonly #rows: quarantineRows.QuarantineRows;
  readonly #confirmation: epochConfirmation.EpochConfirmation;
  /** The latest reading of the configuration from the store, with its epoch. */
  #latestReading: epochConfirmation.ConfigurationReading | undefined;
  readonly #budgets: retryBudgets.RetryBudgets;
  readonly admission: urgencyAdmission.UrgencyAdmission;
  readonly #maxProofAgeMilliseconds: number;
  #storeReachable = true;

  constructor(readonly parameters: GatewayParameters) {
    const { self, random, logger, metrics, runnerClient } = parameters;
    this.#maxProofAgeMilliseconds =
      parameters.revocationMilliseconds * MAX_PROOF_AGE_FRACTION;
    const { dataCentre } = self;
    this.evacuations = evacuationsOfMesh.evacuationsOfMesh({
      mesh: () => this.mesh,
      runners: this.runners,
      epochTrusted: () => this.#confirmation.trusted,
      onEnd: () => this.runnerTracker.availabilityChanged.announce(),
      logger,
      metrics,
    });
    this.runnerTracker = new runnerTracker.RunnerTracker({
      dataCentre,
      random,
      inLockStep: (service) => this.#inLockStep(service),
      rateLimitWaitOf: (runner) => this.rateLimits.waitOf(runner),
      restOf: (runner) => this.rests.waitOf(runner),
      isEvacuated: (name) => this.evacuations.isEvacuated(name),
      onSlowChange: (peer, isSlow) =>
        logger.event(
          isSlow
            ? common.EventCode.RunnerSlow
            : common.EventCode.RunnerRecovered,
          { peer },
        ),
    });
    this.#rows = new quarantineRows.QuarantineRows(parameters);
    this.quarantine = new quarantine.Quarantine({
      host: self.host,
      entries: () => this.mesh.readyMembers().map(({ host }) => host),
      versionsOf: (service) => this.runnerTracker.versionsOf(service),
      send: (message, except) => this.mesh.broadcast(message, except),
      relays: false,
      onReportedCrash: (incarnation, crashedAt) =>
        this.crashDetector.applyReportedCrash(incarnation, crashedAt),
      rows: quarantineRows.inBackground(this.#rows, parameters.lifeCycle),
      logger,
      metrics,
    });
    this.crashDetector = new crashDetector.CrashDetector({
      presenceOf: (runner) => runnerClient.presenceOf(runner),
      inUse: (runner) => this.runnerTracker.inUse(runner),
      crashTimeOf: (incarnation) => this.quarantine.crashTimeOf(incarnation),
      onCrash: (crash) => this.quarantine.recordCrash(crash),
    });
    this.crashReview = new crashReview.CrashReview({
      clock: common.now,
      crashTimeOf: (incarnation) => this.quarantine.crashTimeOf(incarnation),
      crashedIncarnations: (earliest, latest) =>
        this.quarantine.crashedIncarnations(earliest, latest),
      onDisproved: (incarnation) => this.quarantine.disproveCrash(incarnation),
    });
    this.rests = new runnerRests.RunnerRests({ logger, metrics });
    this.rateLimits = new rateLimits.RateLimits({
      host: self.host,
      entries: () =>
        this.mesh.known().map(({ member, beat }) => ({
          host: member.host,
          reachable: beat !== undefined && !beat.leaving,
        })),
      entriesKnown: () => this.mesh.membersKnown,
      storeReachable: () => this.#storeReachable,
      leaving: () => this.stopping,
      warmUpRateOf: (service) =>
        this.#serviceOf(service)?.warmUpRequestsPerSecond ?? 0,
      send: (host, message) => this.mesh.send(host, message),
      broadcast: (message) => this.mesh.broadcast(message),
      logger,
      metrics,
    });
    const entryCount = () => this.mesh.size;
    const { retries } = parameters;
    this.#budgets = new retryBudgets.RetryBudgets({ ...retries, entryCount });
    this.admission = new urgencyAdmission.UrgencyAdmission({
      configuration: this.configuration,
      tracker: this.runnerTracker,
      entryCount,
      metrics,
      onFailure: (cause) => {
        const { name, onTaskFailure } = parameters.lifeCycle;
        onTaskFailure(`${name}/admission`, cause);
      },
    });
    this.forwarder = new forwarderModule.Forwarder({
      configuration: this.configuration,
      proofAge: () => this.#proofAge,
      maxProofAgeMilliseconds: this.#maxProofAgeMilliseconds,
      tracker: this.runnerTracker,
      runners: this.runners,
      admission: this.admission,
      runnerClient,
      budgetOf: (service) => this.#budgets.of(service),
      quarantine: this.quarantine,
      crashDetector: this.crashDetector,
      rateLimits: this.rateLimits,
      rests: this.rests,
      onLeaving: ({ identifier: peer }, request) =>
        logger.event(common.EventCode.RunnerLeaving, { peer, request }),
      onAnswerStart: (runner) => this.crashReview.reviewAnswer(runner),
      stop: parameters.stop,
      bounds: parameters.bounds,
      retryElsewhereMilliseconds: () => this.#retryElsewhereMilliseconds(),
      random,
      logger,
      metrics,
    });
    const rows = new memberRows.MemberRows(parameters.table, logger, metrics);
    this.mesh = new entryMesh.EntryMesh({
      self,
      incarnation: common.randomIdentifier(),
      rows,
      seeds: parameters.seeds,
      configuration: this.configuration,
      runners: this.runners,
      evacuations: this.evacuations.list,
      ready: () => this.ready,
      storeReachable: () => this.#storeReachable,
      outstanding: () => this.runnerTracker.ownCounts(),
      onOutstanding: (host, counts) =>
        this.runnerTracker.setCountsOf(host, counts),
      suspicions: {
        receive: (message, host) => this.quarantine.receive(message, host),
        initialMessage: () => this.quarantine.initialMessage(),
      },
      rateLimits: this.rateLimits,
      onLoad: (message, host) => this.admission.receive(message, host),
      random,
      logger,
      lifeCycle: parameters.lifeCycle,
    });
    this.#confirmation = new epochConfirmation.EpochConfirmation({
      rows,
      currentVersion: () => this.configuration.version,
      latestReading: () => this.#latestReading,
      lowestServedVersion: () => this.#lowestServedVersion(),
      // An entry that starts trusts a table whose epoch is confirmed. While this
      // one retains evacuations that the table lacks, it must not confirm it.
      isConfirmer: () =>
        this.evacuations.mayConfirm(rows.epoch.number) &&
        this.mesh.pollPosition() === 0,
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
    if (this.stopping || !this.runners.value || !this.evacuations.known)
      return false;
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
    return this.parameters.stop.started.aborted;
  }

  /** Starts to follow the store and to link with the other entries. */
  start(linkServer: http.Server): void {
    const { lifeCycle, configurationSource, runnerSource } = this.parameters;
    this.mesh.start(linkServer);
    lifeCycle.keepRunning("configuration", (signal) =>
      this.#followDocument(
        "configuration",
        this.#recordReadings(configurationSource),
        this.configuration,
        signal,
      ),
    );
    lifeCycle.keepRunning("runners", (signal) =>
      this.#followDocument("runners", runnerSource, this.runners, signal),
    );
    lifeCycle.keepRunning("evacuations", (signal) =>
      this.#followDocument(
        "evacuations",
        this.parameters.evacuationSource,
        this.evacuations.list,
        signal,
      ),
    );
    lifeCycle.keepRunning("evacuations in force", (signal) =>
      this.evacuations.run(signal),
    );
    lifeCycle.keepRunning("quarantine", async (signal) => {
      const storedReports = await this.#rows.read(signal);
      if (storedReports) this.quarantine.applyStoredReports(storedReports);
    });
    lifeCycle.every(RATE_LIMIT_TICK_MILLISECONDS, () => this.rateLimits.tick());
    lifeCycle.every(urgencyQueue.REPORT_INTERVAL_MILLISECONDS, () => {
      const report = this.admission.report();
      if (report) this.mesh.broadcast(report);
    });
    // The name "board" stands for the runner tracker, also in the state dump.
    lifeCycle.keepRunning("board", (signal) => this.#updateTracker(signal));
    lifeCycle.keepRunning("confirm", (signal) =>
      this.#confirmation.run(signal),
    );
    lifeCycle.keepRunning("restore", (signal) =>
      this.#repairRowsAfterRestore(signal),
    );
  }

  /**
   * Entries that a caller may use now, outside evacuated data centres while any
   * such entry is ready; all known entries if none reports that it is ready.
   */
  entriesForCallers(): wire.MeshMember[] {
    const ready = this.mesh.readyMembers();
    if (ready.length === 0) return this.mesh.knownMembers();
    return entriesOutside.entriesOutside(ready, ({ dataCentre }) =>
      this.evacuations.isEvacuated(dataCentre),
    );
  }

  /**
   * Drains this entry. Resolves when all requests are answered and callers have
   * had time to notice that this entry is leaving, or when the time for answers
   * is over. Callers that received a list with this entry use that list for some
   * seconds more, so this entry still serves what it can finish while it drains.
   */
  async drain(sinceSignalMilliseconds: number): Promise<void> {
    const { logger, stop } = this.parameters;
    stop.start(sinceSignalMilliseconds);
    const underWay = this.forwarder.underWay;
    logger.event(common.EventCode.DrainStarted, { underWay });
    // The store may not answer for longer than the process has.
    const left = this.mesh.leave();
    while (stop.remainingMilliseconds > 0) {
      const wasNoticed = stop.elapsedMilliseconds >= MIN_DRAIN_MILLISECONDS;
      if (wasNoticed && this.forwarder.underWay === 0) break;
      await common.sleep(DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
    await common.withTimeout(left, LEAVE_MILLISECONDS);
    const stillUnderWay = this.forwarder.underWay;
    logger.event(common.EventCode.DrainFinished, { underWay: stillUnderWay });
  }

  /** Returns the state dump. */
  describe(): unknown {
    return {
      ready: this.ready,
      stopping: this.stopping,
      underWay: this.forwarder.underWay,
      heldBytes: this.forwarder.heldBytes,
      configuration: {
        version: this.configuration.version,
        age: this.configuration.age,
      },
      runners: { version: this.runners.version, age: this.runners.age },
      evacuations: this.evacuations.describe(),
      board: this.runnerTracker.runners(),
      quarantine: this.quarantine.describe(),
      rateLimits: this.rateLimits.describe(),
      rests: this.rests.describe(),
      admission: this.admission.describe(),
      mesh: this.mesh.describe(),
    };
  }

  /**
   * Whether the ranks of a service run in lock-step, in groups. They do if the
   * model of its engines has layers with experts.
   */
  #inLockStep(service: string): boolean {
    return (this.#serviceOf(service)?.engine?.layers ?? 0) > 0;
  }

  /** What the configuration in force says of a service. */
  #serviceOf(service: string): traffic.Service | undefined {
    const services = this.configuration.value?.services ?? [];
    return services.find(({ name }) => name === service);
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
        if (read.isErr() || !read.value.value) return read;
        const { version } = read.value.value;
        // A shared look may be older than the table's epoch that is known now.
        const readIn = read.value.epoch ?? epoch.number;
        this.#latestReading = { epoch: readIn, version };
        return read;
      },
    };
  }

  /**
   * Lowest version of the configuration among the other entries that reported
   * that they are ready for requests; `undefined` if there is no such entry.
   */
  #lowestServedVersion(): number | undefined {
    const versions = this.mesh
      .known()
      .flatMap(({ beat }) => (beat?.ready ? [beat.configuration.version] : []));
    return versions.length > 0 ? Math.min(...versions) : undefined;
  }

  /**
   * Writes the rows of quarantined requests again whenever the table was
   * restored from a copy, which begins a new epoch. Only a process that saw the
   * epoch begin does so: only its state may be newer than the table.
   */
  async #repairRowsAfterRestore(signal: AbortSignal): Promise<void> {
    const { table, logger } = this.parameters;
    let knownEpoch = table.epoch.number;
    while (!signal.aborted) {
      await table.epoch.began.next(CHANGE_CHECK_INTERVAL_MILLISECONDS, signal);
      const { number: epoch, sawBegin } = table.epoch;
      if (epoch === knownEpoch) continue;
      knownEpoch = epoch;
      if (!sawBegin) continue;
      const quarantine = this.quarantine.repairRows();
      // The mesh writes the row of this entry again; it is counted here.
      const code = common.EventCode.TableRowsRestored;
      logger.event(code, { epoch, rows: { entry: 1, quarantine } });
    }
  }

  /**
   * Age in milliseconds of a document's proof up to which this entry relies on
   * other entries to poll the store; 0 if this entry is one that polls. It
   * follows from the entry's position in the order of `followPlace`.
   */
  #restBelowAge(): number {
    const index = this.mesh.pollPosition() - STORE_POLLERS;
    if (index < 0) return 0;
    const { extraMilliseconds } = this.mesh.heartbeatInterval;
    const first = FALLBACK_AGE_MILLISECONDS + extraMilliseconds;
    return first + index * FALLBACK_STAGGER_MILLISECONDS;
  }

  /**
   * Passes each new runner list to the tracker and to the crash detector. The
   * crash review gets the current list at each change and at each check, as it
   * depends on the age of the list's proof.
   */
  async #updateTracker(signal: AbortSignal): Promise<void> {
    let version = -1;
    while (!signal.aborted) {
      const list = this.runners.value;
      if (list && list.version !== version) {
        this.runnerTracker.update(list);
        this.crashDetector.applyList(list);
        this.rateLimits.retain(list);
        this.rests.retain(list);
      }
      if (list) this.crashReview.reviewList(list, this.runners.age);
      version = list?.version ?? version;
      await this.runners.changes.next(
        CHANGE_CHECK_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  #retryElsewhereMilliseconds(): number {
    const { random } = this.parameters;
    const hasOther = this.mesh.readyMembers().length > 0;
    const { least, most } = hasOther
      ? RETRY_ELSEWHERE_MILLISECONDS
      : RETRY_ALONE_MILLISECONDS;
    return random.between(least, most);
  }
}
