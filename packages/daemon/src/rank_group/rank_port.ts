import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as executeOrder from "./execute_order.ts";
import type * as rankEngine from "./rank_engine.ts";
import type * as groupRank from "./group_rank.ts";

/** Age of a beat up to which it tells a rank's state, in milliseconds. */
const FRESH_MILLISECONDS = 900;
/** Time for the process beside a rank to answer, in milliseconds. */
const ANSWER_MILLISECONDS = 400;

/** Who gives orders, and in which forming of the group. */
export interface Leadership {
  token: number;
  epoch: number;
}

/**
 * One rank of the group, as its leader reaches it: through the process beside it,
 * whose orders cost nothing, or straight at its engine while that process is
 * away, so that a held group never waits for a process to come back.
 */
export class LinkedRank implements groupRank.GroupRank {
  #status: wire.RankStatus | undefined;
  #heardAt = -Infinity;
  /** The last switch that the rank is known to have made, and in which forming. */
  #switched = { version: 0, epoch: -1 };
  #link: wire.Link | undefined;
  #question = 0;
  readonly #waiting = new Map<number, (reply: wire.RankReply) => void>();
  readonly #waitingLists = new Map<
    number,
    (lists: wire.RankLists | undefined) => void
  >();

  constructor(
    readonly rank: number,
    readonly engine: rankEngine.RankEngine,
    readonly leadership: () => Leadership,
  ) {}

  /** State as last heard. */
  get status(): wire.RankStatus | undefined {
    return this.#status;
  }

  /** Whether the state was heard lately. */
  get fresh(): boolean {
    return common.now() - this.#heardAt < FRESH_MILLISECONDS;
  }

  /** Whether the process beside the rank is linked. */
  get linked(): boolean {
    return this.#link !== undefined && this.#link.end === undefined;
  }

  /** Takes the link to the process beside the rank. */
  attach(link: wire.Link): void {
    this.#link = link;
  }

  /** Notes the rank's state. */
  hear(status: wire.RankStatus): void {
    this.#status = this.#asOfNow(status);
    this.#heardAt = common.now();
  }

  /**
   * Notes that the rank uses a map, as another one does that was armed for the same
   * pass. Its own process need not read that first, nor tell it.
   */
  noteSwitched(version: number): void {
    const { epoch = -1 } = this.#status ?? {};
    this.#switched = { version, epoch };
    if (this.#status) this.#status = this.#asOfNow(this.#status);
  }

  /** A state that was read before the last switch is of the past. */
  #asOfNow(status: wire.RankStatus): wire.RankStatus {
    const { version, epoch } = this.#switched;
    const isPast = status.epoch === epoch && status.mapVersion < version;
    if (!isPast) return status;
    return { ...status, mapVersion: version, armedVersion: 0, armedStep: 0 };
  }

  /** Takes an answer, if it came on this rank's link. */
  receive(
    message: wire.RankReply | wire.RankListsAnswer,
    link: wire.Link,
  ): void {
    if (link !== this.#link) return;
    switch (message.kind) {
      case wire.MessageKind.RankReply:
        // Noted here, in the order of arrival, and not by who waits for the reply: that
        // one goes on later, and would put an older state over that of a newer beat.
        // The leader then waits for a state that it has had, until the next beat.
        if (message.status) this.hear(message.status);
        return this.#waiting.get(message.question)?.(message);
      case wire.MessageKind.RankListsAnswer:
        return this.#waitingLists.get(message.question)?.(message.lists);
    }
  }

  /** Reads the state from the engine itself; whether it answered. */
  async refresh(): Promise<boolean> {
    const report = await this.engine.report();
    if (report.isOk()) this.hear(report.value.status);
    return report.isOk();
  }

  /** Experts that the rank holds. */
  async lists(): Promise<wire.RankLists | undefined> {
    const link = this.#link;
    if (link && this.linked) {
      const question = ++this.#question;
      const answer = new Promise<wire.RankLists | undefined>((resolve) =>
        this.#waitingLists.set(question, resolve),
      );
      link.send({ kind: wire.MessageKind.RankListsRequest, question });
      const lists = await common.withTimeout(answer, ANSWER_MILLISECONDS);
      this.#waitingLists.delete(question);
      if (lists) return lists;
    }
    const read = await this.engine.lists();
    return read.isOk() ? read.value : undefined;
  }

  /** Gives an order and tells how it ended. */
  async order(order: wire.RankOrder): Promise<wire.RankReply> {
    const link = this.#link;
    const reply =
      link && this.linked ? await this.#askShortly(link, order) : undefined;
    return reply ?? this.orderFromHere(order);
  }

  /** Gives an order to the engine itself and tells how it ended. */
  async orderFromHere(order: wire.RankOrder): Promise<wire.RankReply> {
    const leadership = this.leadership();
    const outcome = await executeOrder.executeOrder({
      engine: this.engine,
      order,
      ...leadership,
    });
    if (outcome.status) this.hear(outcome.status);
    const kind = wire.MessageKind.RankReply;
    return { kind, question: 0, token: leadership.token, ...outcome };
  }

  /**
   * Sends a map as changes if it can be. Sent whole to each rank of a large group it
   * fills a slow host's link, and the leader's beats wait behind it.
   */
  async #askShortly(
    link: wire.Link,
    order: wire.RankOrder,
  ): Promise<wire.RankReply | undefined> {
    if (order.kind !== wire.RankOrderKind.Prepare) {
      return this.#ask(link, order);
    }
    const { changes, ...whole } = order;
    const known = changes?.base === this.#status?.mapVersion;
    const reply = changes && known ? await this.#ask(link, changes) : undefined;
    const settled = reply && reply.end !== wire.RankOrderEnd.BaseUnknown;
    return settled ? reply : this.#ask(link, whole);
  }

  async #ask(
    link: wire.Link,
    order: wire.SentOrder,
  ): Promise<wire.RankReply | undefined> {
    const question = ++this.#question;
    const answer = new Promise<wire.RankReply>((resolve) =>
      this.#waiting.set(question, resolve),
    );
    const kind = wire.MessageKind.RankCommand;
    link.send({ kind, question, ...this.leadership(), order });
    const reply = await common.withTimeout(answer, ANSWER_MILLISECONDS);
    this.#waiting.delete(question);
    return reply;
  }
}
