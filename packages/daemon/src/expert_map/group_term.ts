import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as rankPort from "./rank_port.ts";
import * as rankSession from "./rank_session.ts";

/**
 * Bounds of the pause between repetitions. A group may be holding meanwhile, so
 * it is short; it varies, so that no fault with a rhythm meets every repetition.
 */
const MIN_PAUSE_MILLISECONDS = 10;
const MAX_PAUSE_MILLISECONDS = 60;
const MIN_HELD_PAUSE_MILLISECONDS = 1;
const MAX_HELD_PAUSE_MILLISECONDS = 5;
/** Times an order that can be given up is given. */
const MAX_TRIES_PER_ORDER = 3;

/** What a term is made of. */
export interface GroupTermParameters {
  group: string;
  fencing: number;
  ports: rankPort.RankPort[];
  signal: AbortSignal;
  /** Repeats orders without a pause, for tests that have no timers. */
  withoutPauses?: boolean;
}

/** A map to be staged. */
export interface MapStaging {
  map: wire.ExpertMap;
  /** The same told by its changes, for agents that have the base. */
  changes: wire.MapChanges | undefined;
}

/**
 * One coordinator's term over a group: a fencing number that all ranks have
 * promised to, and whatever is ordered under it.
 */
export class GroupTerm {
  readonly sessions: rankSession.RankSession[];
  readonly #random: common.Random;
  #establishing: Promise<rankSession.RankReply | undefined> | undefined;

  constructor(readonly parameters: GroupTermParameters) {
    const { group, fencing, ports } = parameters;
    this.#random = new common.Random(fencing);
    this.sessions = ports.map(
      (port) => new rankSession.RankSession(port, group, fencing),
    );
  }

  /** Name of the group. */
  get group(): string {
    return this.parameters.group;
  }

  /** Fencing number of the term. */
  get fencing(): number {
    return this.parameters.fencing;
  }

  /** States of all ranks as last read. */
  get states(): wire.RankState[] {
    return this.sessions.flatMap(({ state }) => state ?? []);
  }

  /**
   * Has all ranks promise, and then has them confirm. A restarted agent forgets
   * its promise, and a coordinator that was superseded could get it to promise
   * anew and say go there, while the successor cancels elsewhere: a step with
   * two maps. After two rounds with the same incarnations, all agents were in
   * place at a moment when all had promised; whoever asks an agent restarted
   * since must itself confirm with all others, and is refused by them.
   */
  establish(): Promise<rankSession.RankReply | undefined> {
    this.#establishing ??= this.#establishOnce().finally(() => {
      this.#establishing = undefined;
    });
    return this.#establishing;
  }

  /**
   * Gives an order to all, a few times where the answer is lost; the first
   * failure, if any. For what can still be given up.
   */
  async orderAll(
    order: wire.Order,
  ): Promise<rankSession.RankReply | undefined> {
    const replies = this.sessions.map((session) =>
      repeatWhileUnknown(() => session.order(order)),
    );
    return firstFailure(await Promise.all(replies));
  }

  /** Stages a map at all ranks; the first failure, if any. */
  async stage(staging: MapStaging): Promise<rankSession.RankReply | undefined> {
    const replies = this.sessions.map((session) =>
      this.#stageAt(session, staging),
    );
    return firstFailure(await Promise.all(replies));
  }

  /** Gives an order to all and returns the states told, if all answered. */
  async orderAndReadStates(
    order: wire.Order,
  ): Promise<wire.RankState[] | undefined> {
    const failure = await this.orderAll(order);
    return failure ? undefined : this.states;
  }

  /**
   * Repeats an order at all ranks until each answer is definite. Orders are
   * idempotent; when an agent was replaced, the term is established again first.
   */
  async orderAllUntilFinal(
    order: wire.Order,
  ): Promise<rankSession.RankReply | undefined> {
    const replies = this.sessions.map((session) =>
      this.#orderUntilFinal(session, order),
    );
    return firstFailure(await Promise.all(replies));
  }

  /** The pause between repetitions. */
  pause(): Promise<void> {
    return this.#pause(MIN_PAUSE_MILLISECONDS, MAX_PAUSE_MILLISECONDS);
  }

  /** A pause about as long as a step, while every rank is kept from stepping. */
  pauseWhileHolding(): Promise<void> {
    return this.#pause(
      MIN_HELD_PAUSE_MILLISECONDS,
      MAX_HELD_PAUSE_MILLISECONDS,
    );
  }

  #pause(minMilliseconds: number, maxMilliseconds: number): Promise<void> {
    const { signal, withoutPauses = false } = this.parameters;
    if (withoutPauses) return new Promise((resolve) => setImmediate(resolve));
    return common.sleep(
      this.#random.between(minMilliseconds, maxMilliseconds),
      signal,
    );
  }

  async #stageAt(
    session: rankSession.RankSession,
    staging: MapStaging,
  ): Promise<rankSession.RankReply> {
    const { group, fencing } = this;
    const { map, changes } = staging;
    if (changes) {
      const kind = wire.OrderKind.StageChanges;
      const reply = await repeatWhileUnknown(() =>
        session.order({ kind, group, fencing, changes }),
      );
      const lacksBase =
        !reply.done && reply.failure === rankSession.RankFailure.LacksBase;
      if (!lacksBase) return reply;
    }
    const kind = wire.OrderKind.Stage;
    return repeatWhileUnknown(() =>
      session.order({ kind, group, fencing, map }),
    );
  }

  async #orderUntilFinal(
    session: rankSession.RankSession,
    order: wire.Order,
  ): Promise<rankSession.RankReply> {
    const { signal } = this.parameters;
    let reply = rankSession.unknown("stopped");
    while (!signal.aborted) {
      const failure = session.isBound ? undefined : await this.establish();
      reply = failure ?? (await session.order(order));
      if (rankSession.isFinal(reply)) return reply;
      await this.pause();
    }
    return reply;
  }

  async #establishOnce(): Promise<rankSession.RankReply | undefined> {
    const promises = this.sessions.map((session) =>
      repeatWhileUnknown(() => session.promise()),
    );
    const notPromised = firstFailure(await Promise.all(promises));
    if (notPromised) return notPromised;
    const confirmations = this.sessions.map((session) =>
      repeatWhileUnknown(() => session.confirm()),
    );
    return firstFailure(await Promise.all(confirmations));
  }
}

/**
 * Gives an order again when its answer is lost: with many ranks one answer is
 * always being lost somewhere, and a round that must be whole never would be.
 */
async function repeatWhileUnknown(
  send: () => Promise<rankSession.RankReply>,
): Promise<rankSession.RankReply> {
  let reply = await send();
  for (let tries = 1; tries < MAX_TRIES_PER_ORDER; tries++) {
    if (rankSession.isFinal(reply)) return reply;
    reply = await send();
  }
  return reply;
}

/** The first failure; being superseded outweighs any other. */
function firstFailure(
  replies: rankSession.RankReply[],
): rankSession.RankReply | undefined {
  const failures = replies.filter((reply) => !reply.done);
  return failures.find(rankSession.isSuperseded) ?? failures[0];
}
