import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as countPlan from "./count_plan.ts";
import * as executeOrder from "./execute_order.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as readingPlan from "./reading_plan.ts";

/** How long the state is read closely once that is asked for. */
const CLOSE_READING_MILLISECONDS = 100;
/** Longest time for which a map that is loaded is waited for. */
const LOADING_TIMEOUT_MILLISECONDS = 4_000;
/** Longest time without a look at what there is to read. */
const MAX_PAUSE_MILLISECONDS = 300;
/** Maps of earlier orders that are kept: the one in force, and two after it. */
const MAX_CACHED_MAPS = 3;

/** An order with who gives it, and in which forming of the group. */
export interface MemberCommand {
  token: number;
  epoch: number;
  order: wire.RankOrder;
}

/** What the process beside a rank knows of its own engine. */
export class RankMember {
  #report: rankEngine.RankReport | undefined;
  #counts: rankEngine.ActivationCounts | undefined;
  #reportedAt = -Infinity;
  #countedAt = -Infinity;
  /** Choices that were not told to a leader yet. */
  #unreportedCounts: number[] = [];
  #highestToken = 0;
  #closelyUntil = 0;
  /** Version that the engine loads, when it should be there, and how long to wait. */
  #loadingMap = { version: 0, loadedAt: 0, until: 0 };
  /** How often the leader asks for choices; 0 for never. */
  #countMilliseconds = countPlan.COUNT_PERIOD_MILLISECONDS;
  readonly #readingDue = new common.ChangeNotice();
  /** Maps that the engine was told to prepare, by version, oldest first. */
  readonly #maps = new Map<number, wire.RankMap>();
  /** Orders run one at a time: each reads the engine's state before. */
  #previousOrder: Promise<unknown> = Promise.resolve();
  readonly changed = new common.ChangeNotice();

  constructor(
    readonly engine: rankEngine.RankEngine,
    /** What this process is to its group. */
    readonly role: () => readingPlan.GroupRole = () =>
      readingPlan.GroupRole.Leaderless,
  ) {}

  /** Where the engine is in its group; `undefined` before it told. */
  get identity(): wire.RankIdentity | undefined {
    return this.#report?.identity;
  }

  /** The engine's state as last read. */
  get status(): wire.RankStatus | undefined {
    return this.#report?.status;
  }

  /** Highest token that was obeyed or heard. */
  get token(): number {
    return this.#highestToken;
  }

  /** The map of a version, for all ranks; `undefined` if it is not remembered. */
  mapOf(version: number): wire.RankMap | undefined {
    return this.#maps.get(version);
  }

  /** Reads the engine's state often for a moment, beginning now. */
  readClosely(): void {
    this.#closelyUntil = common.now() + CLOSE_READING_MILLISECONDS;
    this.#readingDue.announce();
  }

  /** Notes a token; whether none higher is known. */
  acceptToken(token: number): boolean {
    if (token < this.#highestToken) return false;
    this.#highestToken = token;
    return true;
  }

  /** Reads the engine over and over until the signal aborts. */
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

  /** Choices since the last call, layer after layer. */
  takeCounts(): number[] {
    const chosen = this.#unreportedCounts;
    this.#unreportedCounts = [];
    return chosen;
  }

  /** Reads choices as often as the leader asks for them; 0 for never. */
  setCountPeriod(milliseconds: number): void {
    const before = this.#countMilliseconds;
    this.#countMilliseconds = milliseconds;
    if (milliseconds === 0) this.#unreportedCounts = [];
    // What was counted while nobody asked is of the past.
    if (before === 0 && milliseconds > 0) this.#counts = undefined;
  }

  /** Carries out an order of a leader. */
  execute(command: MemberCommand): Promise<executeOrder.OrderOutcome> {
    const turn = this.#previousOrder.then(() => this.#execute(command));
    this.#previousOrder = turn;
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
    // It can be armed for a map that is loaded only.
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
    // However many maps are loaded and left unused, the next one is told as changes to
    // the one in force.
    const inForce = this.status?.mapVersion;
    const oldest = [...this.#maps.keys()].find((known) => known !== inForce);
    if (oldest !== undefined) this.#maps.delete(oldest);
  }

  /** Experts of a map that the rank has to load for it, as far as is known here. */
  #expertsToLoad(map: wire.RankMap): number {
    const { rank = 0 } = this.identity ?? {};
    const base = this.mapOf(this.status?.mapVersion ?? 0);
    if (!base) return 0;
    return map.reduce((sum, ranks, layer) => {
      const held = base[layer]?.[rank] ?? [];
      const added = ranks[rank].filter((expert) => !held.includes(expert));
      return sum + added.length;
    }, 0);
  }

  /** Reads what is due, and announces it. */
  async #read(): Promise<void> {
    const now = common.now();
    const state = this.#readingState(now);
    const stateIsDue =
      now >= readingPlan.nextStateReadingAt(state, this.#reportedAt);
    if (stateIsDue) {
      this.#reportedAt = now;
      const report = await this.engine.report();
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
    // Of an engine that ran before this process, it is not known how old its
    // counts are; those of a young one are new.
    if (!before && !this.#isNewlyFormed) return;
    // An engine that started anew counts from 0, and may have come further since
    // than it had before.
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

  /** Whether the group is being formed, or still has its first map. */
  get #isNewlyFormed(): boolean {
    return this.status !== undefined && readingPlan.isNewlyFormed(this.status);
  }

  /** Whether the engine loads a map that it was told to prepare. */
  #isLoadingMap(now: number): boolean {
    const { version, until } = this.#loadingMap;
    // An engine that uses a map tells it as prepared no more.
    const { preparedVersion = 0, mapVersion = 0 } = this.status ?? {};
    return Math.max(preparedVersion, mapVersion) < version && now < until;
  }
}
