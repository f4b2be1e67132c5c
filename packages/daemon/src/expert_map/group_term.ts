import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as rankConnection from "./rank_connection.ts";
import * as rankSession from "./rank_session.ts";

/**
 * Limits of the pause before an order is repeated. The pause is short because
 * the group may hold meanwhile. It varies so that a periodic fault does not hit
 * every repetition.
 */
const MIN_PAUSE_MILLISECONDS = 10;
const MAX_PAUSE_MILLISECONDS = 60;
/** Limits of the pause between reads of ranks that were ordered to hold. */
const MIN_HELD_PAUSE_MILLISECONDS = 1;
const MAX_HELD_PAUSE_MILLISECONDS = 5;
/** How often an order is sent at most while the coordinator may give it up. */
const MAX_TRIES_PER_ORDER = 3;

/** Parameters of a term. */
export interface GroupTermParameters {
  group: string;
  fencing: number;
  /** One connection for each rank, in order of rank. */
  connections: rankConnection.RankConnection[];
  /** Once aborted, `orderAllUntilFinal` repeats no order any further. */
  signal: AbortSignal;
  /** Repeats orders without a pause, for tests that have no timers. */
  withoutPauses?: boolean;
}

/** A map to stage at all ranks. */
export interface MapStaging {
  map: wire.ExpertMap;
  /**
   * The same map as changes to an earlier map, its base, for upstream processes
   * that have the base.
   */
  changes: wire.MapChanges | undefined;
}

/**
 * One coordinator's term over a group. All ranks promise the term's fencing
 * number, that is, to refuse orders with a lower one; the coordinator then
 * sends its orders under that number.
 */
export class GroupTerm {
  /** One session for each rank, in order of rank. */
  readonly sessions: rankSession.RankSession[];
  readonly #random: common.Random;
  /** The call of `establish` in progress, which concurrent callers share. */
  #establishing: Promise<rankSession.RankReply | undefined> | undefined;

  constructor(readonly parameters: GroupTermParameters) {
    const { group, fencing, connections } = parameters;
    this.#random = new common.Random(fencing);
    this.sessions = connections.map(
      (connection) => new rankSession.RankSession(connection, group, fencing),
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

  /** Last state of each rank that has answered an order, in order of rank. */
  get states(): wire.RankState[] {
    return this.sessions.flatMap(({ state }) => state ?? []);
  }

  /**
   * Gets a promise from every rank and then a confirmation of each promise.
   * Returns the first failure, or `undefined` if all ranks confirmed.
   *
   * A restarted upstream process has lost its promise. Without the
   * confirmations, a superseded coordinator could get a new promise from that
   * process and order "go" there while its successor cancels the switch at the
   * other ranks; an iteration would then run with two maps. Confirmations by
   * the incarnations that promised prove that at one moment all of them were
   * running and had promised. If an upstream process restarts later, a
   * superseded coordinator must get confirmations from the other ranks too
   * before it can order anything there, and they refuse it.
   */
  establish(): Promise<rankSession.RankReply | undefined> {
    this.#establishing ??= this.#establishOnce().finally(() => {
      this.#establishing = undefined;
    });
    return this.#establishing;
  }

  /**
   * Sends an order to all ranks, and repeats it a few times at a rank whose
   * answer is lost. Returns the first failure, if any. For orders that the
   * coordinator may still give up.
   */
  async orderAll(
    order: wire.Order,
  ): Promise<rankSession.RankReply | undefined> {
    const replies = this.sessions.map((session) =>
      sendWithRetries(() => session.order(order)),
    );
    return firstFailure(await Promise.all(replies));
  }

  /** Stages a map at all ranks. Returns the first failure, if any. */
  async stage(staging: MapStaging): Promise<rankSession.RankReply | undefined> {
    const replies = this.sessions.map((session) =>
      this.#stageAt(session, staging),
    );
    return firstFailure(await Promise.all(replies));
  }

  /**
   * Sends an order to all ranks. Returns the states that they report, or
   * `undefined` if some rank did not confirm that it carried out the order.
   */
  async orderAndReadStates(
    order: wire.Order,
  ): Promise<wire.RankState[] | undefined> {
    const failedReply = await this.orderAll(order);
    return failedReply ? undefined : this.states;
  }

  /**
   * Sends an order to all ranks and repeats it at each until the rank carries
   * it out, or refuses it for a reason that a repetition does not remove, or
   * until the term's signal aborts. Returns the first failure, if any. Orders
   * are idempotent. When a rank's upstream process was replaced, the term is
   * established again before the next repetition.
   */
  async orderAllUntilFinal(
    order: wire.Order,
  ): Promise<rankSession.RankReply | undefined> {
    const replies = this.sessions.map((session) =>
      this.#orderUntilFinal(session, order),
    );
    return firstFailure(await Promise.all(replies));
  }

  /** Waits before an order is repeated. */
  pause(): Promise<void> {
    return this.#pause(MIN_PAUSE_MILLISECONDS, MAX_PAUSE_MILLISECONDS);
  }

  /**
   * Waits for about the duration of an iteration, while all ranks are ordered
   * to hold and no iteration can begin.
   */
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

  /**
   * Stages a map by its changes, or in full if the upstream process lacks the
   * map that the changes are based on.
   */
  async #stageAt(
    session: rankSession.RankSession,
    staging: MapStaging,
  ): Promise<rankSession.RankReply> {
    const { group, fencing } = this;
    const { map, changes } = staging;
    if (changes) {
      const kind = wire.OrderKind.StageChanges;
      const reply = await sendWithRetries(() =>
        session.order({ kind, group, fencing, changes }),
      );
      const lacksBase =
        !reply.done && reply.failure === rankSession.RankFailure.LacksBase;
      if (!lacksBase) return reply;
    }
    const kind = wire.OrderKind.Stage;
    return sendWithRetries(() => session.order({ kind, group, fencing, map }));
  }

  async #orderUntilFinal(
    session: rankSession.RankSession,
    order: wire.Order,
  ): Promise<rankSession.RankReply> {
    const { signal } = this.parameters;
    let reply = rankSession.retryableReply("coordinator stopped");
    while (!signal.aborted) {
      const failedReply = session.isPromiserLinked
        ? undefined
        : await this.establish();
      reply = failedReply ?? (await session.order(order));
      if (rankSession.isFinal(reply)) return reply;
      await this.pause();
    }
    return reply;
  }

  async #establishOnce(): Promise<rankSession.RankReply | undefined> {
    const promises = this.sessions.map((session) =>
      sendWithRetries(() => session.promise()),
    );
    const notPromised = firstFailure(await Promise.all(promises));
    if (notPromised) return notPromised;
    const confirmations = this.sessions.map((session) =>
      sendWithRetries(() => session.confirm()),
    );
    return firstFailure(await Promise.all(confirmations));
  }
}

/**
 * Sends an order, and sends it again while the reply is
 * `RankFailure.Retryable`, up to `MAX_TRIES_PER_ORDER` times in all. With many
 * ranks, some answer is lost in almost every round; without repetition, hardly
 * any round would complete at all ranks.
 */
async function sendWithRetries(
  send: () => Promise<rankSession.RankReply>,
): Promise<rankSession.RankReply> {
  let reply = await send();
  for (let tries = 1; tries < MAX_TRIES_PER_ORDER; tries++) {
    if (rankSession.isFinal(reply)) return reply;
    reply = await send();
  }
  return reply;
}

/**
 * The first reply that is a failure. A failure that shows another coordinator
 * has taken over goes before all others.
 */
function firstFailure(
  replies: rankSession.RankReply[],
): rankSession.RankReply | undefined {
  const failures = replies.filter((reply) => !reply.done);
  return failures.find(rankSession.isSuperseded) ?? failures[0];
}
