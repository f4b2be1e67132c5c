import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as modelGroup from "./model_group.ts";

const RANKS = 3;
const EPOCH = 1;
/** The leader that dies in the middle of its switch. */
const DEAD_RANK = 0;
/** The rank that holds an iteration for all leaders but its own process. */
const HOLDER_RANK = 1;
const OTHER_HOLDER_RANK = 2;
const FIRST_VERSION = 100;
/** Rounds of the event loop without an engine call after which all are idle. */
const IDLE_ROUNDS = 4;
/** Recoveries that one process makes at most. */
const MAX_RECOVERIES = 4;
/** Iterations that are begun at most after one order. */
const MAX_PASSES = 4;

/** Where a run differs from others. */
export interface PausedRecoveryRun {
  /** Engine calls after which the first leader dies; 0 if there is none. */
  diesAfter: number;
  /** Rank of the process that is paused. */
  pausedRank: number;
  /** Whether that process begins a switch; otherwise it only recovers one. */
  pausedLeads: boolean;
  /** Engine calls after which it is paused. */
  pausedAfter: number;
  /**
   * Rank of the next leader, which ends the recovery and begins a switch. It may
   * be the rank of the first leader, whose process was restarted.
   */
  nextRank: number;
  /** Engine calls of the next leader after which the paused one continues. */
  wokenAfter: number;
  /**
   * Whether engines count the orders that they begin. If they don't, a leader
   * has to know which iterations were held, and not hold the same one again.
   */
  counting: boolean;
  /**
   * Whether an iteration begins as soon as it can, or only once the paused
   * process has continued. Until then, two leaders may hold the same iteration.
   */
  passesAtOnce: boolean;
}

/** How a run ended. */
export interface PausedRecoveryResult {
  /** Whether a pass began with two maps. */
  mixed: boolean;
  /** Whether the paused process was paused before it had ended. */
  wasPaused: boolean;
  /** Whether the next leader was still at work when the paused one continued. */
  wasNextBusy: boolean;
  /** Whether an iteration was held while the recovery began. */
  wasHeld: boolean;
  /** Whether the group was free after all processes had continued to the end. */
  freed: boolean;
}

/** One process that orders ranks, and stands still after some engine calls. */
class Process {
  callsLeft: number;
  calls = 0;
  continued = false;
  lastHeldStep = -1;
  #resume: (() => void)[] = [];

  constructor(callsLeft: number) {
    this.callsLeft = callsLeft;
  }

  get paused(): boolean {
    return this.#resume.length > 0;
  }

  /** Waits until the process may make its next engine call. */
  async turn(): Promise<void> {
    while (this.callsLeft <= 0)
      await new Promise<void>((resolve) => this.#resume.push(resolve));
    this.callsLeft--;
    this.calls++;
  }

  continue(): void {
    this.continued = true;
    this.callsLeft = Infinity;
    const waiting = this.#resume;
    this.#resume = [];
    for (const resolve of waiting) resolve();
  }
}

/**
 * Runs the real switch and the real recovery in three processes against model
 * engines that check no fencing token: a leader that dies in its switch, a
 * successor that is paused, and the next leader. None ever hears that it was
 * replaced.
 */
export async function runPausedRecovery(
  run: PausedRecoveryRun,
): Promise<PausedRecoveryResult> {
  const world = new World(run);
  const dead = new Process(run.diesAfter);
  void world.lead(dead, DEAD_RANK);
  await world.untilIdle();
  const wasHeld = world.anyHeld;
  const paused = new Process(run.pausedAfter);
  world.paused = paused;
  void (run.pausedLeads
    ? world.recoverAndLead(paused, run.pausedRank)
    : world.recover(paused, run.pausedRank));
  await world.untilIdle();
  const wasPaused = paused.paused;
  const next = new Process(run.wokenAfter);
  void world.recoverAndLead(next, run.nextRank);
  await world.untilIdle();
  const wasNextBusy = next.paused;
  paused.continue();
  await world.untilIdle();
  next.continue();
  await world.untilIdle();
  world.pass();
  const rescuer = new Process(Infinity);
  void world.recover(rescuer, run.nextRank);
  await world.untilIdle();
  world.pass();
  world.over = true;
  await world.untilIdle();
  const { mixed } = world.group;
  return { mixed, wasPaused, wasNextBusy, wasHeld, freed: !world.anyHeld };
}

class World {
  readonly group: modelGroup.ModelGroup;
  over = false;
  /** The process that is paused. */
  paused: Process | undefined;
  #lastVersion = FIRST_VERSION;
  #calls = 0;
  readonly #notices: wire.HoldNotice[] = [];

  constructor(readonly run: PausedRecoveryRun) {
    this.group = new modelGroup.ModelGroup(RANKS, run.counting);
  }

  get anyHeld(): boolean {
    return Array.from({ length: RANKS }, (_, rank) => rank).some(
      (rank) => this.group.report(rank).status.heldStep >= 0,
    );
  }

  /** Resolves when no process has made an engine call for some rounds. */
  async untilIdle(): Promise<void> {
    let idle = 0;
    while (idle < IDLE_ROUNDS) {
      const before = this.#calls;
      await nextRound();
      idle = this.#calls === before ? idle + 1 : 0;
    }
  }

  /** Begins the iterations that no rank holds. */
  pass(): void {
    for (let count = 0; count < MAX_PASSES && !this.group.held; count++)
      this.group.pass();
  }

  async lead(process: Process, rank: number): Promise<void> {
    const handles = this.#handlesOf(process);
    const holder = rank === HOLDER_RANK ? OTHER_HOLDER_RANK : HOLDER_RANK;
    const version = ++this.#lastVersion;
    await daemon.switchGroup({
      handles,
      own: handles[rank],
      holder: handles[holder],
      version,
      map: mapOf(version),
      valid: () => !this.over,
      outdated: () => false,
      iterationsAhead: () => 2,
      minStep: this.run.counting ? 0 : process.lastHeldStep + 1,
      announceHold: (step) =>
        this.#notices.push({
          kind: wire.MessageKind.HoldNotice,
          group: "g",
          epoch: EPOCH,
          leader: rank,
          holder,
          step,
        }),
      pause: nextRound,
    });
  }

  async recover(process: Process, rank: number): Promise<void> {
    const handles = this.#handlesOf(process);
    for (let count = 0; count < MAX_RECOVERIES && !this.over; count++) {
      const { kind, heldStep } = await daemon.recoverSwitch({
        handles,
        valid: () => !this.over,
        pause: nextRound,
        holdNotices: this.#notices,
        fallback: async () => {
          const version = ++this.#lastVersion;
          return { version, map: mapOf(rank) };
        },
      });
      process.lastHeldStep = Math.max(process.lastHeldStep, heldStep);
      if (kind === daemon.SwitchRecoveryKind.Nothing) return;
    }
  }

  async recoverAndLead(process: Process, rank: number): Promise<void> {
    await this.recover(process, rank);
    await this.lead(process, rank);
    await this.recover(process, rank);
  }

  /**
   * Whether iterations begin after an order. They don't before a hold, which
   * would then be refused.
   */
  #mayPass({ kind }: wire.RankOrder): boolean {
    if (!this.run.passesAtOnce) return this.paused?.continued === true;
    return this.anyHeld || kind === wire.RankOrderKind.Release;
  }

  #handlesOf(process: Process): daemon.RankHandle[] {
    return Array.from({ length: RANKS }, (_, rank) => {
      const order = async (given: wire.RankOrder): Promise<wire.RankReply> => {
        const outcome = await daemon.executeOrder({
          engine: this.#engine(process, rank),
          order: given,
          token: 1,
          epoch: EPOCH,
        });
        const kind = wire.MessageKind.RankReply;
        return { kind, question: 0, token: 1, ...outcome };
      };
      const { group } = this;
      return {
        rank,
        get status() {
          return group.report(rank).status;
        },
        order,
        orderDirectly: order,
        refresh: async () => {
          await this.#turn(process);
          return true;
        },
      };
    });
  }

  async #turn(process: Process): Promise<void> {
    await process.turn();
    this.#calls++;
  }

  #engine(process: Process, rank: number): daemon.RankEngine {
    return {
      report: async () => {
        await this.#turn(process);
        return neverthrow.ok(this.group.report(rank));
      },
      chosen: async () => neverthrow.err("not modelled"),
      lists: async () => neverthrow.err("not modelled"),
      order: async (order, { sequence }) => {
        await this.#turn(process);
        const isBegun = this.group.take(rank, order, sequence);
        if (this.#mayPass(order)) this.pass();
        return isBegun
          ? daemon.EngineAnswer.Accepted
          : daemon.EngineAnswer.Refused;
      },
    };
  }
}

function mapOf(version: number): wire.RankMap {
  return [Array.from({ length: RANKS }, (_, rank) => [rank, version])];
}

function nextRound(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
