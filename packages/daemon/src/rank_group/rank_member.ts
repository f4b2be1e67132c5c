import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as countPlan from "./count_plan.ts";
import * as executeOrder from "./execute_order.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as readingPlan from "./reading_plan.ts";

/** How long the state is read at the close period after `readClosely`. */
const CLOSE_READING_MILLISECONDS = 100;
/**
 * Time limit for reading the state often because the engine was ordered to load
 * a map.
 */
const LOADING_TIMEOUT_MILLISECONDS = 4_000;
/** Longest pause before the process checks again what it has to read. */
const MAX_PAUSE_MILLISECONDS = 300;
/**
 * How many maps of earlier orders are cached: the one in force, and two newer
 * ones.
 */
const MAX_CACHED_MAPS = 3;

/** An order of a leader, with its fencing token and group epoch. */
export interface MemberCommand {
  token: number;
  epoch: number;
  order: wire.RankOrder;
}

/**
 * The engine of this process's own rank, as the process sees it: reads its
 * state and its activations at the times that the reading plan gives, and
 * carries out a leader's orders one at a time.
 */
export class RankMember {
  #report: rankEngine.RankReport | undefined;
  #counts: rankEngine.ActivationCounts | undefined;
  #reportedAt = -Infinity;
  #countedAt = -Infinity;
  /** Activations that were not yet reported to a leader, layer after layer. */
  #unreportedCounts: number[] = [];
  #highestToken = 0;
  #closelyUntil = 0;
  /**
   * Version of the map that the engine loads, when the map should be loaded,
   * and until when to read the state often to see that. Times of `common.now`.
   */
  #loadingMap = { version: 0, loadedAt: 0, until: 0 };
  /** How often the leader wants activations counted; 0 for never. */
  #countMilliseconds = countPlan.COUNT_PERIOD_MILLISECONDS;
  readonly #readingDue = new common.ChangeNotice();
  /** Maps that the engine was ordered to prepare, by version, oldest first. */
  readonly #maps = new Map<number, wire.RankMap>();
  /**
   * Orders run one at a time, because each first reads the state of the engine.
   */
  #previousOrder: Promise<unknown> = Promise.resolve();
  /**
   * Announces each reading of the state or the activations, also one that shows
   * no change.
   */
  readonly changed = new common.ChangeNotice();

  constructor(
    readonly engine: rankEngine.RankEngine,
    /** The role of this process in its group. */
    readonly role: () => readingPlan.GroupRole = () =>
      readingPlan.GroupRole.Leaderless,
    /** Reads the state of the same engine for `watch`. */
    readonly reader: rankEngine.StateReader = engine,
  ) {}

  /** The engine's rank and group; `undefined` before the first reading. */
  get identity(): wire.RankIdentity | undefined {
    return this.#report?.identity;
  }

  /** The engine's state as last read. */
  get status(): wire.RankStatus | undefined {
    return this.#report?.status;
  }

  /** The highest fencing token that was accepted. */
  get token(): number {
    return this.#highestToken;
  }

  /** The map of a version, for all ranks; `undefined` if it is not cached. */
  mapOf(version: number): wire.RankMap | undefined {
    return this.#maps.get(version);
  }

  /** Reads the engine's state often for a moment, beginning now. */
  readClosely(): void {
    this.#closelyUntil = common.now() + CLOSE_READING_MILLISECONDS;
    this.#readingDue.announce();
  }

  /**
   * Accepts a fencing token unless a higher one is known. Returns whether it
   * was accepted.
   */
  acceptToken(token: number): boolean {
    if (token < this.#highestToken) return false;
    this.#highestToken = token;
    return true;
  }

  /** Reads the engine repeatedly until the signal aborts. */
  async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#read();
      const pause = Math.max(0, this.#nextReadingAt - common.now());
      await this.#readingDue.next(
        Math.min(pause, MAX_PAUSE_MILLISECONDS),
        signal,
      );
    }
  }

  /**
   * Returns the activations that were read since the last call, layer after
   * layer.
   */
  takeCounts(): number[] {
    const chosen = this.#unreportedCounts;
    this.#unreportedCounts = [];
    return chosen;
  }

  /**
   * Sets how often the activations are read. 0 for never; this also drops those
   * that were read and not yet reported.
   */
  setCountPeriod(milliseconds: number): void {
    const before = this.#countMilliseconds;
    this.#countMilliseconds = milliseconds;
    if (milliseconds === 0) this.#unreportedCounts = [];
    // The activations from the time in which no leader asked for them are out
    // of date, so the next reading counts as the first.
    if (before === 0 && milliseconds > 0) this.#counts = undefined;
  }

  /** Carries out an order of a leader. */
  execute(command: MemberCommand): Promise<executeOrder.OrderOutcome> {
    const turn = this.#previousOrder.then(() => this.#execute(command));
    // An order that fails must not fail those behind it.
    this.#previousOrder = turn.catch(() => undefined);
    return turn;
  }

  async #execute(command: MemberCommand): Promise<executeOrder.OrderOutcome> {
    const { token, epoch, order } = command;
    if (!this.acceptToken(token)) {
      const end = wire.RankOrderEnd.Superseded;
      const detail = `token ${this.#highestToken} is known`;
      return { end, detail, status: this.status };
    }
    const { engine } = this;
    const outcome = await executeOrder.executeOrder({
      engine,
      order,
      token,
      epoch,
    });
    const isPrepare = order.kind === wire.RankOrderKind.Prepare;
    const isDone = outcome.end === wire.RankOrderEnd.Done;
    if (isPrepare && isDone) this.#noteLoading(order);
    // An engine can only be armed for a map that it has loaded.
    const isArm = order.kind === wire.RankOrderKind.Arm;
    if (isArm && isDone) this.#loadingMap.until = 0;
    return outcome;
  }

  #noteLoading(order: wire.PrepareOrder): void {
    const { version, map, copyMilliseconds = 0 } = order;
    const now = common.now();
    const loadedAt = now + this.#expertsToLoad(map) * copyMilliseconds;
    this.#loadingMap = {
      version,
      loadedAt,
      until: now + LOADING_TIMEOUT_MILLISECONDS,
    };
    this.#readingDue.announce();
    this.#maps.set(version, map);
    if (this.#maps.size <= MAX_CACHED_MAPS) return;
    // The map in force stays cached however many others are loaded and not
    // used, so that the next map can be sent as changes to it.
    const inForce = this.status?.mapVersion;
    const oldest = [...this.#maps.keys()].find((known) => known !== inForce);
    if (oldest !== undefined) this.#maps.delete(oldest);
  }

  /**
   * Number of experts that the rank has to load for a map; 0 if the map in
   * force is not cached.
   */
  #expertsToLoad(map: wire.RankMap): number {
    const { rank = 0 } = this.identity ?? {};
    const base = this.mapOf(this.status?.mapVersion ?? 0);
    if (!base) return 0;
    return map.reduce((sum, ranks, layer) => {
      const loaded = base[layer]?.[rank] ?? [];
      const added = ranks[rank].filter((expert) => !loaded.includes(expert));
      return sum + added.length;
    }, 0);
  }

  /**
   * Reads the state and the activations if they are due, and announces that.
   */
  async #read(): Promise<void> {
    const now = common.now();
    const state = this.#readingState(now);
    const stateIsDue =
      now >= readingPlan.nextStateReadingAt(state, this.#reportedAt);
    if (stateIsDue) {
      this.#reportedAt = now;
      const report = await this.reader.report();
      if (report.isOk()) this.#report = report.value;
    }
    const countIsDue = now >= this.#nextCountAt(now);
    if (countIsDue) {
      this.#countedAt = now;
      const counts = await this.engine.chosen();
      if (counts.isOk()) this.#addCounts(counts.value);
    }
    if (stateIsDue || countIsDue) this.changed.announce();
  }

  #readingState(now: number): readingPlan.ReadingState {
    return {
      role: this.role(),
      status: this.status,
      expectedLoadedAt: this.#isLoadingMap(now)
        ? this.#loadingMap.loadedAt
        : undefined,
      closelyUntil: this.#closelyUntil,
      countMilliseconds: this.#countMilliseconds,
      now,
    };
  }

  get #nextReadingAt(): number {
    const now = common.now();
    const state = this.#readingState(now);
    const stateAt = readingPlan.nextStateReadingAt(state, this.#reportedAt);
    return Math.min(stateAt, this.#nextCountAt(now));
  }

  #nextCountAt(now: number): number {
    const allReport =
      this.#countMilliseconds <= countPlan.COUNT_PERIOD_MILLISECONDS;
    const state = this.#readingState(now);
    return readingPlan.nextCountReadingAt(state, this.#countedAt, allReport);
  }

  #addCounts(counts: rankEngine.ActivationCounts): void {
    const before = this.#counts;
    this.#counts = counts;
    // For an engine that ran before this process, the age of its counts is
    // unknown. Those of a newly formed group are recent.
    if (!before && !this.#isNewlyFormed) return;
    // A restarted engine counts from 0 again, and by now it may have counted
    // more than before the restart.
    const restarted =
      counts.bornAt !== (before?.bornAt ?? counts.bornAt) ||
      counts.chosen.some(
        (count, index) => count < (before?.chosen[index] ?? 0),
      );
    counts.chosen.forEach((count, index) => {
      const previous = restarted ? 0 : (before?.chosen[index] ?? 0);
      this.#unreportedCounts[index] =
        (this.#unreportedCounts[index] ?? 0) + count - previous;
    });
  }

  /** Whether the group is not yet open or still uses its first map. */
  get #isNewlyFormed(): boolean {
    return this.status !== undefined && readingPlan.isNewlyFormed(this.status);
  }

  /** Whether the engine still loads a map that it was ordered to prepare. */
  #isLoadingMap(now: number): boolean {
    const { version, until } = this.#loadingMap;
    // An engine that uses a map no longer reports it as prepared.
    const { preparedVersion = 0, mapVersion = 0 } = this.status ?? {};
    return Math.max(preparedVersion, mapVersion) < version && now < until;
  }
}
