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
import * as endReview from "../quarantine/end_review.ts";
import * as endWatch from "../quarantine/end_watch.ts";
import * as quarantine from "../quarantine/quarantine.ts";
import * as quarantineRows from "../quarantine/quarantine_rows.ts";

/**
 * Part of the time in which a key that was taken away may still be served, after
 * which a configuration without proof is not relied on. The rest covers a request
 * that waits after it was let through, and its way.
 */
const MAX_PROOF_AGE_FRACTION = 0.8;
/** Entries that ask the store; one more than needed, as one may die. */
const STORE_POLLERS = 2;
/**
 * Age of a proof at which an entry that is no follower asks the store itself, in
 * milliseconds: longer than a look takes, and staggered so that not all ask.
 */
const FALLBACK_AGE_MILLISECONDS = 1_400;
const FALLBACK_STAGGER_MILLISECONDS = 250;
/** Part of the allowed repeats that is used; the rest covers unequal load. */
const USED_RETRY_FRACTION = 0.7;
/** Entries that the allowance is shared among at least. */
const MIN_ENTRIES = 6;
/** Time for which callers see that this entry leaves, in milliseconds. */
const MIN_DRAIN_MILLISECONDS = 3_300;
/** Time before the process is killed at which it ends by itself. */
const STOP_MARGIN_MILLISECONDS = 700;
/** How often a stopping process looks whether all is answered. */
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 50;

/** How often the board is compared with the list, if no change is announced. */
const CHANGE_CHECK_INTERVAL_MILLISECONDS = 1_000;

/** What a gateway needs. */
export interface GatewayParameters {
  self: wire.MeshMember;
  seeds: { address: string; port: number }[];
  /** Longest time for which a key that was taken away may be served. */
  revocationMilliseconds: number;
  /** Time from the wish to stop until the process is killed. */
  stopMilliseconds: number;
  /** Repeats allowed over all entries, in a window. */
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
 * An entry that passes requests on as they are. It is ready once it knows which
 * requests may go where, and as long as it knows that this is not old.
 */
export class Gateway {
  readonly configuration =
    new traffic.ProvenValue<traffic.TrafficConfiguration>();
  readonly runners = new traffic.ProvenValue<traffic.RunnerList>();
  readonly runnerTracker: runnerTracker.RunnerTracker;
  readonly forwarder: forwarderModule.Forwarder;
  readonly mesh: entryMesh.EntryMesh;
  readonly quarantine: quarantine.Quarantine;
  readonly endWatch: endWatch.EndWatch;
  readonly endReview: endReview.EndReview;
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
      tell: (message, except) => this.mesh.tell(message, except),
      relays: false,
      onEndTold: (life, endedAt) => this.endWatch.toldEnd(life, endedAt),
      rows: quarantineRows.inBackground(this.#rows, parameters.lifeCycle),
      logger,
      metrics,
    });
    this.endWatch = new endWatch.EndWatch({
      presenceOf: (runner) => caller.presenceOf(runner),
      inUse: (runner) => this.runnerTracker.inUse(runner),
      endOf: (life) => this.quarantine.endOf(life),
      onEnd: (end) => this.quarantine.runnerEnded(end),
    });
    this.endReview = new endReview.EndReview({
      clock: common.now,
      endOf: (life) => this.quarantine.endOf(life),
      endedLives: (earliest, latest) =>
        this.quarantine.endedLives(earliest, latest),
      onAlive: (life) => this.quarantine.runnerHeard(life),
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
      onAnswerStart: (runner) => this.endReview.heard(runner),
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
        take: (message, host) => this.quarantine.take(message, host),
        everything: () => this.quarantine.everything(),
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
      isConfirmer: () => this.mesh.followPlace() === 0,
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

  /** Whether callers may be sent here. */
  get ready(): boolean {
    if (this.#stopping || !this.runners.value) return false;
    return this.#proofAge <= this.#maxProofAgeMilliseconds;
  }

  /** Milliseconds for which a newer configuration may have gone unseen. */
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
      if (restored) this.quarantine.restore(restored);
    });
    lifeCycle.run("board", (signal) => this.#updateTracker(signal));
    lifeCycle.run("confirm", (signal) => this.#confirmation.run(signal));
    lifeCycle.run("restore", (signal) => this.#restoreRowsAfterEpochs(signal));
  }

  /** Entries that a caller may use now; all known ones if none says it is ready. */
  entriesForCallers(): wire.MeshMember[] {
    const ready = this.mesh.readyMembers();
    return ready.length > 0 ? ready : this.mesh.knownMembers();
  }

  /**
   * Stops taking part, and resolves when all requests are answered and callers
   * have had time to see that this entry leaves. Callers hold on to what they
   * were told for some seconds, so requests are served until then.
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

  /** The state dump. */
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

  /** Engines whose layers are spread over experts work in groups of ranks. */
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

  /** A source of which each reading is noted with the table's epoch. */
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

  /** Lowest version of the configuration at an entry that takes requests. */
  #lowestServedVersion(): number | undefined {
    const versions = this.mesh
      .others()
      .flatMap(({ beat }) => (beat?.ready ? [beat.configuration.version] : []));
    return versions.length > 0 ? Math.min(...versions) : undefined;
  }

  /** Writes held requests again whenever the table came back from a copy. */
  async #restoreRowsAfterEpochs(signal: AbortSignal): Promise<void> {
    const { table, logger } = this.parameters;
    let knownEpoch = table.epoch.number;
    while (!signal.aborted) {
      await table.epoch.began.next(CHANGE_CHECK_INTERVAL_MILLISECONDS, signal);
      const { number: epoch, sawBegin } = table.epoch;
      if (epoch === knownEpoch) continue;
      knownEpoch = epoch;
      if (!sawBegin) continue;
      const quarantine = this.quarantine.restoreRows();
      const code = common.EventCode.TableRowsRestored;
      logger.event(code, { epoch, rows: { entry: 1, quarantine } });
    }
  }

  #restBelowAge(): number {
    const index = this.mesh.followPlace() - STORE_POLLERS;
    if (index < 0) return 0;
    return FALLBACK_AGE_MILLISECONDS + index * FALLBACK_STAGGER_MILLISECONDS;
  }

  async #updateTracker(signal: AbortSignal): Promise<void> {
    let version = -1;
    while (!signal.aborted) {
      const list = this.runners.value;
      if (list && list.version !== version) {
        this.runnerTracker.update(list);
        this.endWatch.listed(list);
      }
      if (list) this.endReview.look(list, this.runners.age);
      version = list?.version ?? version;
      await this.runners.changes.next(
        CHANGE_CHECK_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  #budgetOf(service: string): retryBudget.RetryBudget {
    const existing = this.#budgets.get(service);
    if (existing) return existing;
    const { share, allowance } = this.parameters.retries;
    const entries = Math.max(MIN_ENTRIES, this.mesh.size);
    const largestBalance = (allowance * USED_RETRY_FRACTION) / entries;
    const created = new retryBudget.RetryBudget({
      earnedPerRequest: share * USED_RETRY_FRACTION,
      largestBalance,
      // A process that starts anew may have spent its balance just before.
      initialBalance: largestBalance / 2,
    });
    this.#budgets.set(service, created);
    return created;
  }
}
