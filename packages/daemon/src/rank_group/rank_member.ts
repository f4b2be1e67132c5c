import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as countPlan from "./count_plan.ts";
import * as executeOrder from "./execute_order.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as readingPlan from "./reading_plan.ts";

/** How long the state is read closely once that is asked for. */
const LOOK_CLOSELY_MILLISECONDS = 100;
/** Longest time for which a map that is loaded is waited for. */
const LOADING_MILLISECONDS = 4_000;
/** Longest time without a look at what there is to read. */
const LONGEST_PAUSE_MILLISECONDS = 300;
/** Maps of earlier orders that are kept: the one in force, and two after it. */
const KEPT_MAPS = 3;

/** An order with who gives it, and in which forming of the group. */
export interface MemberCommand {
  token: number;
  epoch: number;
  order: wire.RankOrder;
}

/** What the process beside a rank knows of its own engine. */
export class RankMember {
  #report: rankEngine.RankReport | undefined;
  #counts: rankEngine.ChosenCounts | undefined;
  #reportedAt = -Infinity;
  #countedAt = -Infinity;
  /** Choices that were not told to a leader yet. */
  #untold: number[] = [];
  #highestToken = 0;
  #lookCloselyUntil = 0;
  /** Version that the engine loads, when it should be there, and how long to wait. */
  #awaited = { version: 0, loadedAt: 0, until: 0 };
  /** How often the leader asks for choices; 0 for never. */
  #askedMilliseconds = countPlan.COUNT_MILLISECONDS;
  readonly #ordered = new common.ChangeNotice();
  /** Maps that the engine was told to prepare, by version, oldest first. */
  readonly #maps = new Map<number, wire.RankMap>();
  /** Orders run one at a time: each reads the engine's state before. */
  #previous: Promise<unknown> = Promise.resolve();
  readonly changed = new common.ChangeNotice();

  constructor(
    readonly engine: rankEngine.RankEngine,
    /** What this process is to its group. */
    readonly part: () => readingPlan.Part = () => readingPlan.Part.Alone,
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
  lookClosely(): void {
    this.#lookCloselyUntil = common.now() + LOOK_CLOSELY_MILLISECONDS;
    this.#ordered.announce();
  }

  /** Notes a token; whether none higher is known. */
  heed(token: number): boolean {
    if (token < this.#highestToken) return false;
    this.#highestToken = token;
    return true;
  }

  /** Reads the engine over and over until the signal aborts. */
  async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#read();
      const pause = Math.max(0, this.#nextReadingAt - common.now());
      await this.#ordered.next(
        Math.min(pause, LONGEST_PAUSE_MILLISECONDS),
        signal,
      );
    }
  }

  /** Choices since the last call, layer after layer. */
  takeChosen(): number[] {
    const chosen = this.#untold;
    this.#untold = [];
    return chosen;
  }

  /** Reads choices as often as the leader asks for them; 0 for never. */
  countEvery(milliseconds: number): void {
    const before = this.#askedMilliseconds;
    this.#askedMilliseconds = milliseconds;
    if (milliseconds === 0) this.#untold = [];
    // What was counted while nobody asked is of the past.
    if (before === 0 && milliseconds > 0) this.#counts = undefined;
  }

  /** Carries out an order of a leader. */
  execute(command: MemberCommand): Promise<executeOrder.OrderOutcome> {
    const turn = this.#previous.then(() => this.#execute(command));
    this.#previous = turn;
    return turn;
  }

  async #execute(command: MemberCommand): Promise<executeOrder.OrderOutcome> {
    const { token, epoch, order } = command;
    if (!this.heed(token)) {
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
    const loads = order.kind === wire.RankOrderKind.Prepare;
    const isDone = outcome.end === wire.RankOrderEnd.Done;
    if (loads && isDone) this.#awaitMap(order);
    // It can be armed for a map that is loaded only.
    const arms = order.kind === wire.RankOrderKind.Arm;
    if (arms && isDone) this.#awaited.until = 0;
    return outcome;
  }

  #awaitMap(order: wire.PrepareOrder): void {
    const { version, map, copyMilliseconds = 0 } = order;
    const now = common.now();
    const loadedAt = now + this.#copiesOf(map) * copyMilliseconds;
    this.#awaited = { version, loadedAt, until: now + LOADING_MILLISECONDS };
    this.#ordered.announce();
    this.#maps.set(version, map);
    if (this.#maps.size <= KEPT_MAPS) return;
    // However many maps are loaded and left unused, the next one is told as changes to
    // the one in force.
    const inForce = this.status?.mapVersion;
    const oldest = [...this.#maps.keys()].find((known) => known !== inForce);
    if (oldest !== undefined) this.#maps.delete(oldest);
  }

  /** Experts of a map that the rank has to load for it, as far as is known here. */
  #copiesOf(map: wire.RankMap): number {
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
    const stateIsDue = now >= readingPlan.nextStateAt(state, this.#reportedAt);
    if (stateIsDue) {
      this.#reportedAt = now;
      const report = await this.engine.report();
      if (report.isOk()) this.#report = report.value;
    }
    const countIsDue = now >= this.#nextCountAt(now);
    if (countIsDue) {
      this.#countedAt = now;
      const counts = await this.engine.chosen();
      if (counts.isOk()) this.#count(counts.value);
    }
    if (stateIsDue || countIsDue) this.changed.announce();
  }

  #readingState(now: number): readingPlan.ReadingState {
    return {
      part: this.part(),
      status: this.status,
      loadedAt: this.#awaitsMap(now) ? this.#awaited.loadedAt : undefined,
      closelyUntil: this.#lookCloselyUntil,
      countMilliseconds: this.#askedMilliseconds,
      now,
    };
  }

  get #nextReadingAt(): number {
    const now = common.now();
    const state = this.#readingState(now);
    const stateAt = readingPlan.nextStateAt(state, this.#reportedAt);
    return Math.min(stateAt, this.#nextCountAt(now));
  }

  #nextCountAt(now: number): number {
    const allTell = this.#askedMilliseconds <= countPlan.COUNT_MILLISECONDS;
    const state = this.#readingState(now);
    return readingPlan.nextCountAt(state, this.#countedAt, allTell);
  }

  #count(counts: rankEngine.ChosenCounts): void {
    const before = this.#counts;
    this.#counts = counts;
    // Of an engine that ran before this process, it is not known how old its
    // counts are; those of a young one are new.
    if (!before && !this.#young) return;
    // An engine that started anew counts from 0, and may have come further since
    // than it had before.
    const restarted =
      counts.bornAt !== (before?.bornAt ?? counts.bornAt) ||
      counts.chosen.some(
        (count, index) => count < (before?.chosen[index] ?? 0),
      );
    counts.chosen.forEach((count, index) => {
      const old = restarted ? 0 : (before?.chosen[index] ?? 0);
      this.#untold[index] = (this.#untold[index] ?? 0) + count - old;
    });
  }

  /** Whether the group is being formed, or still has its first map. */
  get #young(): boolean {
    return this.status !== undefined && readingPlan.isYoung(this.status);
  }

  /** Whether the engine loads a map that it was told to prepare. */
  #awaitsMap(now: number): boolean {
    const { version, until } = this.#awaited;
    // An engine that uses a map tells it as prepared no more.
    const { preparedVersion = 0, mapVersion = 0 } = this.status ?? {};
    return Math.max(preparedVersion, mapVersion) < version && now < until;
  }
}
