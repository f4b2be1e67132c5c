import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as countPlan from "./count_plan.ts";
import * as executeOrder from "./execute_order.ts";
import type * as rankEngine from "./rank_engine.ts";

/** How often choices are read while few requests run: little is gained by haste. */
const SELDOM_COUNT_MILLISECONDS = 300;
/** Requests from which an engine counts as busy. */
const SEVERAL_REQUESTS = 3;
/**
 * How often the engine's state is read while nothing is switched. Each reading
 * costs the small host a third of a millisecond of its processor.
 */
const CALM_MILLISECONDS = 300;
/** How often it is read while a switch is under way: the switch waits for it. */
const BUSY_MILLISECONDS = 40;
/**
 * The same while a map is loaded: all ranks wait for the one that is seen last to have
 * loaded it, and the more ranks, the surer one of them was read just before.
 */
const LOADING_READ_MILLISECONDS = 15;
/**
 * How often state and choices are read while the group has its first map, or is
 * being formed: a backlog waits, and that map leaves the slowest rank almost three
 * times the mean until demand is known.
 */
const YOUNG_MILLISECONDS = 80;

/** How long the state is read often after an order. */
const LOOK_CLOSELY_MILLISECONDS = 100;
/**
 * Longest time for which the state is read often while a map is loaded. Engines do
 * not all count loading as being busy: read seldom meanwhile, a map that is loaded is
 * seen a calm period later.
 */
const LOADING_MILLISECONDS = 4_000;
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
  /** Version that the engine loads, and until when that is waited for. */
  #awaited = { version: 0, until: 0 };
  /** How often the leader asks for choices; 0 for never. */
  #askedMilliseconds = countPlan.COUNT_MILLISECONDS;
  readonly #ordered = new common.ChangeNotice();
  /** Maps that the engine was told to prepare, by version, oldest first. */
  readonly #maps = new Map<number, wire.RankMap>();
  /** Orders run one at a time: each reads the engine's state before. */
  #previous: Promise<unknown> = Promise.resolve();
  readonly changed = new common.ChangeNotice();

  constructor(readonly engine: rankEngine.RankEngine) {}

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
      this.changed.announce();
      const pause = Math.min(this.#readPeriod, this.#statePeriod);
      await this.#ordered.next(pause, signal);
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
    if (loads && outcome.end === wire.RankOrderEnd.Done) this.#awaitMap(order);
    // What it began shows in the engine's state; the leader waits for that.
    this.lookClosely();
    return outcome;
  }

  #awaitMap({ version, map }: { version: number; map: wire.RankMap }): void {
    this.#awaited = { version, until: common.now() + LOADING_MILLISECONDS };
    this.#maps.set(version, map);
    if (this.#maps.size <= KEPT_MAPS) return;
    // However many maps are loaded and left unused, the next one is told as changes to
    // the one in force.
    const inForce = this.status?.mapVersion;
    const oldest = [...this.#maps.keys()].find((known) => known !== inForce);
    if (oldest !== undefined) this.#maps.delete(oldest);
  }

  async #read(): Promise<void> {
    const now = common.now();
    if (this.#busy || now - this.#reportedAt >= this.#statePeriod) {
      this.#reportedAt = now;
      const report = await this.engine.report();
      if (report.isOk()) this.#report = report.value;
    }
    if (now - this.#countedAt < this.#countPeriod) return;
    // With no request there nothing is chosen.
    const { status } = this;
    if (!status || status.active + status.waiting === 0) return;
    this.#countedAt = now;
    const counts = await this.engine.chosen();
    if (counts.isOk()) this.#count(counts.value);
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
    const { status } = this;
    return status !== undefined && (!status.open || status.mapVersion === 0);
  }

  /** How often the engine's state is read while nothing is switched. */
  get #statePeriod(): number {
    return this.#young ? YOUNG_MILLISECONDS : CALM_MILLISECONDS;
  }

  get #countPeriod(): number {
    const asked = this.#askedMilliseconds;
    if (asked === 0) return Infinity;
    const allTell = asked <= countPlan.COUNT_MILLISECONDS;
    if (this.#young && allTell) return YOUNG_MILLISECONDS;
    const { active = 0, waiting = 0 } = this.status ?? {};
    const several = active + waiting >= SEVERAL_REQUESTS;
    return several ? asked : Math.max(asked, SELDOM_COUNT_MILLISECONDS);
  }

  /** How often the engine is read. */
  get #readPeriod(): number {
    if (this.#awaitsMap) return LOADING_READ_MILLISECONDS;
    return this.#busy ? BUSY_MILLISECONDS : this.#countPeriod;
  }

  /** Whether the engine loads a map that it was told to prepare. */
  get #awaitsMap(): boolean {
    const { version, until } = this.#awaited;
    const { preparedVersion = 0 } = this.status ?? {};
    return preparedVersion < version && common.now() < until;
  }

  /** Whether a switch is under way here. */
  get #busy(): boolean {
    const report = this.#report;
    if (!report) return false;
    if (common.now() < this.#lookCloselyUntil) return true;
    const { status, loading } = report;
    const { active, preparedVersion, mapVersion } = status;
    if (loading || status.heldStep >= 0 || this.#awaitsMap) return true;
    // Armed with no request: the pass that switches is not near.
    return active > 0 && preparedVersion > mapVersion;
  }
}
