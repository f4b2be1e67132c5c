import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as modelGroup from "./model_group.ts";

/** What may go wrong at most in one run. */
export interface Budgets {
  passes: number;
  /** Orders that get no answer and are carried out later. */
  late: number;
  /** Orders that are carried out and get no answer. */
  unanswered: number;
  /** Times that the leader's host freezes. */
  freezes: number;
  /** Pauses that an actor waits through, each. */
  pauses: number;
}

/** Who acts: the leader at rank 0, and successors at ranks 1 and 2. */
export enum Actor {
  Leader = 0,
  HolderSuccessor = 1,
  OtherSuccessor = 2,
  /** Comes after everything else has ended. */
  Rescuer = 3,
}

/** Which rank the leader arms last. */
export enum ArmedLast {
  /** Its own: what the product does. */
  Own = "own",
  /** Another one: a fault that the explorer has to find. */
  Other = "other",
}

/** A world to explore. */
export interface World {
  budgets: Budgets;
  successors: Actor[];
  armedLast: ArmedLast;
  /** Whether engines count the orders that they begin. */
  counting: boolean;
}

/** Something that an actor waits for. */
interface Wish {
  actor: Actor;
  label: string;
  /** What may happen to it, by name. */
  outcomes: () => Map<string, () => void>;
}

/** An order that will be carried out some time. */
interface LateOrder {
  rank: number;
  order: wire.RankOrder;
  sequence: number;
}

const RANKS = 3;
const LEADER_RANK = 0;
const HOLDER_RANK = 1;
const OTHER_RANK = 2;
const NEXT_VERSION = 100;
const SPARE_VERSIONS = [0, 200, 300, 400];

/**
 * One run of the real switch code against model engines. Each moment at which the
 * world may go on in several ways is a choice; the same choices give the same run.
 */
export class SwitchWorld {
  readonly group: modelGroup.ModelGroup;
  readonly #wishes: Wish[] = [];
  readonly #late: LateOrder[] = [];
  /** What each actor has seen: its state follows from that. */
  readonly #seen: string[] = ["", "", "", ""];
  readonly #started = new Set<Actor>();
  readonly #announced: wire.HoldNotice[] = [];
  readonly #left: Budgets;
  readonly #pausesLeft = new Map<Actor, number>();
  #frozen = false;

  constructor(readonly world: World) {
    this.group = new modelGroup.ModelGroup(RANKS, world.counting);
    this.#left = { ...world.budgets };
    this.#start(Actor.Leader);
  }

  /** All ways in which the world may go on, by name. */
  choices(): Map<string, () => void> {
    const choices = new Map<string, () => void>();
    this.#wishes.forEach((wish) => {
      // Of a frozen host nothing is heard, and it hears nothing.
      if (this.#frozen && wish.actor === Actor.Leader) return;
      for (const [name, act] of wish.outcomes()) {
        choices.set(`${wish.label} ${name}`, () => {
          this.#wishes.splice(this.#wishes.indexOf(wish), 1);
          act();
        });
      }
    });
    this.#late.forEach((late, index) => {
      choices.set(`late ${late.order.kind} at ${late.rank} #${index}`, () => {
        this.#late.splice(index, 1);
        this.group.take(late.rank, late.order, late.sequence);
      });
    });
    if (this.#left.passes > 0 && !this.group.held) {
      choices.set("pass", () => {
        this.#left.passes--;
        this.group.pass();
      });
    }
    if (this.#left.freezes > 0 && !this.#frozen) {
      choices.set("freeze", () => {
        this.#left.freezes--;
        this.#frozen = true;
      });
    }
    if (this.#frozen) choices.set("thaw", () => (this.#frozen = false));
    for (const actor of this.world.successors) {
      if (this.#started.has(actor)) continue;
      choices.set(`start ${actor}`, () => this.#start(actor));
    }
    return choices;
  }

  /**
   * What a successor would do that comes when all is well again: all hosts awake,
   * every order answered. Its choices, taken one by one, must free the group.
   */
  rescue(): void {
    this.#frozen = false;
    this.#late.length = 0;
    this.#wishes.length = 0;
    this.#pausesLeft.set(Actor.Rescuer, Infinity);
    Object.assign(this.#left, { late: 0, unanswered: 0, freezes: 0 });
    void this.#settle(Actor.Rescuer);
  }

  /** All that decides how the world may go on, as text. */
  describe(): string {
    return JSON.stringify([
      this.group.describe(),
      this.#seen,
      this.#wishes.map(({ label }) => label).sort(),
      this.#late,
      this.#left,
      [...this.#pausesLeft],
      this.#frozen,
    ]);
  }

  #start(actor: Actor): void {
    this.#started.add(actor);
    this.#pausesLeft.set(actor, this.world.budgets.pauses);
    void (actor === Actor.Leader ? this.#lead() : this.#settle(actor));
  }

  async #lead(): Promise<void> {
    const ports = this.#portsOf(Actor.Leader);
    const last =
      this.world.armedLast === ArmedLast.Own ? LEADER_RANK : OTHER_RANK;
    const outcome = await daemon.switchGroup({
      handles: ports,
      own: ports[last],
      holder: ports[HOLDER_RANK],
      version: NEXT_VERSION,
      map: [[[0], [1], [2]]],
      valid: () => true,
      outdated: () => false,
      iterationsAhead: () => 2,
      minStep: 0,
      announceHold: (step) =>
        this.#announced.push({
          kind: wire.MessageKind.HoldNotice,
          group: "g",
          epoch: 1,
          leader: LEADER_RANK,
          holder: HOLDER_RANK,
          step,
        }),
      pause: () => this.#pause(Actor.Leader),
    });
    this.#see(Actor.Leader, outcome.kind);
  }

  /** Settles until no pass is held. */
  async #settle(actor: Actor): Promise<void> {
    const ports = this.#portsOf(actor);
    const version = SPARE_VERSIONS[actor];
    for (;;) {
      const settled = await daemon.recoverSwitch({
        handles: ports,
        valid: () => true,
        pause: () => this.#pause(actor),
        holdNotices: this.#announced,
        fallback: async () => ({ version, map: [[[0], [1], [2]]] }),
      });
      this.#see(actor, settled.kind);
      if (settled.kind === daemon.SwitchRecoveryKind.Nothing) return;
      await this.#pause(actor);
    }
  }

  #portsOf(actor: Actor): daemon.RankHandle[] {
    return Array.from({ length: RANKS }, (_, rank) => {
      const order = (given: wire.RankOrder) => this.#order(actor, rank, given);
      return {
        rank,
        status: undefined as wire.RankStatus | undefined,
        order,
        orderDirectly: order,
        refresh: async () => this.#reaches(actor, rank),
      };
    }).map((port) =>
      Object.defineProperty(port, "status", {
        get: () => this.group.report(port.rank).status,
      }),
    );
  }

  /** Whether an actor reaches a rank: nobody else reaches a frozen host. */
  #reaches(actor: Actor, rank: number): boolean {
    return !this.#frozen || rank !== LEADER_RANK || actor === Actor.Leader;
  }

  async #order(
    actor: Actor,
    rank: number,
    order: wire.RankOrder,
  ): Promise<wire.RankReply> {
    const kind = wire.MessageKind.RankReply;
    const base = { kind, question: 0, token: actor } as const;
    if (!this.#reaches(actor, rank)) {
      const end = wire.RankOrderEnd.Unknown;
      this.#see(actor, `unreachable ${rank}`);
      return { ...base, end, detail: "", status: undefined };
    }
    const outcome = await daemon.executeOrder({
      engine: this.#engine(actor, rank),
      order,
      token: actor,
      epoch: 1,
    });
    this.#see(actor, `${order.kind} ${rank} ${outcome.end}`);
    return { ...base, ...outcome };
  }

  #engine(actor: Actor, rank: number): daemon.RankEngine {
    return {
      report: async () => neverthrow.ok(this.group.report(rank)),
      chosen: async () => neverthrow.err("not modelled"),
      lists: async () => neverthrow.err("not modelled"),
      order: (order, { sequence }) =>
        new Promise((resolve) => {
          if (actor === Actor.Leader && isPrepare(order)) {
            this.group.take(rank, order, sequence);
            resolve(daemon.EngineAnswer.Accepted);
            return;
          }
          const label = `${actor}: ${order.kind} at ${rank}`;
          const answer = (name: daemon.EngineAnswer) => {
            this.#see(actor, `${label} ${name}`);
            resolve(name);
          };
          const outcomes = () =>
            this.#outcomesOf({ rank, order, sequence }, answer);
          this.#wishes.push({ actor, label, outcomes });
        }),
    };
  }

  #outcomesOf(
    { rank, order, sequence }: LateOrder,
    answer: (answer: daemon.EngineAnswer) => void,
  ): Map<string, () => void> {
    const outcomes = new Map<string, () => void>();
    outcomes.set("done", () => {
      const begun = this.group.take(rank, order, sequence);
      answer(
        begun ? daemon.EngineAnswer.Accepted : daemon.EngineAnswer.Refused,
      );
    });
    if (this.#left.late > 0) {
      outcomes.set("late", () => {
        this.#left.late--;
        this.#late.push({ rank, order, sequence });
        answer(daemon.EngineAnswer.Unknown);
      });
    }
    if (this.#left.unanswered > 0) {
      outcomes.set("unanswered", () => {
        this.#left.unanswered--;
        this.group.take(rank, order, sequence);
        answer(daemon.EngineAnswer.Unknown);
      });
    }
    return outcomes;
  }

  #pause(actor: Actor): Promise<void> {
    return new Promise((resolve) => {
      const outcomes = () => {
        const left = this.#pausesLeft.get(actor) ?? 0;
        const over = new Map<string, () => void>();
        if (left === 0) return over;
        return over.set("over", () => {
          this.#pausesLeft.set(actor, left - 1);
          resolve();
        });
      };
      this.#wishes.push({ actor, label: `${actor}: pause`, outcomes });
    });
  }

  #see(actor: Actor, what: string): void {
    this.#seen[actor] += `${what};`;
  }
}

/**
 * Before anything is held a map that is prepared changes no pass; leaving out the
 * orders in which ranks prepare it makes a hundredth of the states.
 */
function isPrepare({ kind }: wire.RankOrder): boolean {
  return kind === wire.RankOrderKind.Prepare;
}
