import type * as http from "node:http";
import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as retryBudget from "../dispatch/retry_budget.ts";
import * as forwarderModule from "../forwarding/forwarder.ts";
import * as runnerBoard from "../forwarding/runner_board.ts";
import type * as runnerCaller from "../forwarding/runner_caller.ts";
import * as entryMesh from "../mesh/entry_mesh.ts";
import * as memberRows from "../mesh/member_rows.ts";
import * as epochConfirmation from "./epoch_confirmation.ts";
import * as crashReview from "../quarantine/crash_review.ts";
import * as crashDetector from "../quarantine/crash_detector.ts";
import * as quarantine from "../quarantine/quarantine.ts";
import * as quarantineRows from "../quarantine/quarantine_rows.ts";

/**
 * Part of the time in which a key that was taken away may still be served, after
 * which a configuration without proof is not relied on. The rest covers a request
 * that waits after it was let through, and its way.
 */
const RELIED_ON_SHARE = 0.8;
/** Entries that ask the store; one more than needed, as one may die. */
const FOLLOWERS = 2;
/**
 * Age of a proof at which an entry that is no follower asks the store itself, in
 * milliseconds: longer than a look takes, and staggered so that not all ask.
 */
const FALL_BACK_MILLISECONDS = 1_400;
const FALL_BACK_STAGGER_MILLISECONDS = 250;
/** Part of the allowed repeats that is used; the rest covers unequal load. */
const USED_RETRY_SHARE = 0.7;
/** Entries that the allowance is shared among at least. */
const FEWEST_ENTRIES = 6;
/** Time for which callers see that this entry leaves, in milliseconds. */
const LEAVE_MILLISECONDS = 3_300;
/** Time before the process is killed at which it ends by itself. */
const STOP_SLACK_MILLISECONDS = 700;
/** How often a stopping process looks whether all is answered. */
const STOP_LOOK_MILLISECONDS = 50;

/** How often the board is compared with the list, if no change is announced. */
const BOARD_LOOK_MILLISECONDS = 1_000;

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
  readonly board: runnerBoard.RunnerBoard;
  readonly forwarder: forwarderModule.Forwarder;
  readonly mesh: entryMesh.EntryMesh;
  readonly quarantine: quarantine.Quarantine;
  readonly endWatch: crashDetector.CrashDetector;
  readonly endReview: crashReview.CrashReview;
  readonly #rows: quarantineRows.QuarantineRows;
  readonly #confirmation: epochConfirmation.EpochConfirmation;
  /** The latest reading of the configuration from the store. */
  #latestReading: epochConfirmation.ReadConfiguration | undefined;
  readonly #budgets = new Map<string, retryBudget.RetryBudget>();
  readonly #longestProofAge: number;
  #storeReachable = true;
  #stopping = false;

  constructor(readonly parameters: GatewayParameters) {
    const { self, random, logger, metrics, caller } = parameters;
    this.#longestProofAge = parameters.revocationMilliseconds * RELIED_ON_SHARE;
    const { dataCentre } = self;
    this.board = new runnerBoard.RunnerBoard({
      dataCentre,
      random,
      inLockStep: (service) => this.#inLockStep(service),
    });
    this.#rows = new quarantineRows.QuarantineRows(parameters);
    this.quarantine = new quarantine.Quarantine({
      host: self.host,
      entries: () => this.mesh.readyMembers().map(({ host }) => host),
      versionsOf: (service) => this.board.versionsOf(service),
      send: (message, except) => this.mesh.tell(message, except),
      relays: false,
      onReportedCrash: (life, endedAt) =>
        this.endWatch.applyReportedCrash(life, endedAt),
      rows: quarantineRows.inBackground(this.#rows, parameters.lifeCycle),
      logger,
      metrics,
    });
    this.endWatch = new crashDetector.CrashDetector({
      presenceOf: (runner) => caller.presenceOf(runner),
      inUse: (runner) => this.board.inUse(runner),
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
      longestProofAge: this.#longestProofAge,
      board: this.board,
      caller,
      budgetOf: (service) => this.#budgetOf(service),
      quarantine: this.quarantine,
      endWatch: this.endWatch,
      onHeard: (runner) => this.endReview.reviewAnswer(runner),
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
      outstanding: () => this.board.ownCounts(),
      onOutstanding: (host, counts) => this.board.setOthers(host, counts),
      suspicions: {
        take: (message, host) => this.quarantine.receive(message, host),
        everything: () => this.quarantine.initialMessage(),
      },
      random,
      logger,
      lifeCycle: parameters.lifeCycle,
    });
    this.#confirmation = new epochConfirmation.EpochConfirmation({
      rows,
      heldVersion: () => this.configuration.version,
      latestReading: () => this.#latestReading,
      servedVersion: () => this.#servedVersion(),
      isOwner: () => this.mesh.followPlace() === 0,
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
    return this.#proofAge <= this.#longestProofAge;
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
      this.#follow(
        "configuration",
        this.#noted(configurationSource),
        this.configuration,
        signal,
      ),
    );
    lifeCycle.run("runners", (signal) =>
      this.#follow("runners", runnerSource, this.runners, signal),
    );
    lifeCycle.run("quarantine", async (signal) => {
      const kept = await this.#rows.read(signal);
      if (kept) this.quarantine.applyStoredReports(kept);
    });
    lifeCycle.run("board", (signal) => this.#keepBoard(signal));
    lifeCycle.run("confirm", (signal) => this.#confirmation.run(signal));
    lifeCycle.run("restore", (signal) => this.#restoreRows(signal));
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
    const last = stopMilliseconds - STOP_SLACK_MILLISECONDS;
    for (;;) {
      const elapsed = common.now() - startedAt;
      const seen = elapsed >= LEAVE_MILLISECONDS;
      if (elapsed >= last) break;
      if (seen && this.forwarder.underWay === 0) break;
      await common.sleep(STOP_LOOK_MILLISECONDS);
    }
    const left = this.forwarder.underWay;
    logger.event(common.EventCode.DrainFinished, { underWay: left });
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
      board: this.board.runners(),
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

  async #follow<T extends traffic.Versioned>(
    name: string,
    source: traffic.DocumentSource<T>,
    held: traffic.ProvenValue<T>,
    signal: AbortSignal,
  ): Promise<void> {
    const { random, logger } = this.parameters;
    await traffic.followDocument({
      name,
      source,
      held,
      restBelowAge: () => this.#restBelowAge(),
      onReachable: (reachable) => (this.#storeReachable = reachable),
      random,
      logger,
      signal,
    });
  }

  /** A source of which each reading is noted with the table's epoch. */
  #noted(
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
  #servedVersion(): number | undefined {
    const versions = this.mesh
      .others()
      .flatMap(({ beat }) => (beat?.ready ? [beat.configuration.version] : []));
    return versions.length > 0 ? Math.min(...versions) : undefined;
  }

  /** Writes held requests again whenever the table came back from a copy. */
  async #restoreRows(signal: AbortSignal): Promise<void> {
    const { table, logger } = this.parameters;
    let known = table.epoch.number;
    while (!signal.aborted) {
      await table.epoch.began.next(BOARD_LOOK_MILLISECONDS, signal);
      const { number: epoch, sawBegin } = table.epoch;
      if (epoch === known) continue;
      known = epoch;
      if (!sawBegin) continue;
      const quarantine = this.quarantine.repairRows();
      const code = common.EventCode.TableRowsRestored;
      logger.event(code, { epoch, rows: { entry: 1, quarantine } });
    }
  }

  #restBelowAge(): number {
    const later = this.mesh.followPlace() - FOLLOWERS;
    if (later < 0) return 0;
    return FALL_BACK_MILLISECONDS + later * FALL_BACK_STAGGER_MILLISECONDS;
  }

  async #keepBoard(signal: AbortSignal): Promise<void> {
    let version = -1;
    while (!signal.aborted) {
      const list = this.runners.value;
      if (list && list.version !== version) {
        this.board.update(list);
        this.endWatch.applyList(list);
      }
      if (list) this.endReview.reviewList(list, this.runners.age);
      version = list?.version ?? version;
      await this.runners.changes.next(BOARD_LOOK_MILLISECONDS, signal);
    }
  }

  #budgetOf(service: string): retryBudget.RetryBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const { share, allowance } = this.parameters.retries;
    const entries = Math.max(FEWEST_ENTRIES, this.mesh.size);
    const largestBalance = (allowance * USED_RETRY_SHARE) / entries;
    const created = new retryBudget.RetryBudget({
      earnedPerRequest: share * USED_RETRY_SHARE,
      maxBalance: largestBalance,
      // A process that starts anew may have spent its balance just before.
      initialBalance: largestBalance / 2,
    });
    this.#budgets.set(service, created);
    return created;
  }
}
