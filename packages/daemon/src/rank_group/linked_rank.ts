import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as executeOrder from "./execute_order.ts";
import type * as rankEngine from "./rank_engine.ts";
import type * as rankHandle from "./rank_handle.ts";

/** Age of a beat up to which it tells a rank's state, in milliseconds. */
const MAX_STATUS_AGE_MILLISECONDS = 900;
/** Time for the process beside a rank to answer, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 400;

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
export class LinkedRank implements rankHandle.RankHandle {
  #status: wire.RankStatus | undefined;
  #statusAt = -Infinity;
  /** The last switch that the rank is known to have made, and in which forming. */
  #lastSwitch = { version: 0, epoch: -1 };
  #link: wire.Link | undefined;
  #question = 0;
  readonly #pendingReplies = new Map<number, (reply: wire.RankReply) => void>();
  readonly #pendingLists = new Map<
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
    return common.now() - this.#statusAt < MAX_STATUS_AGE_MILLISECONDS;
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
  updateStatus(status: wire.RankStatus): void {
    this.#status = this.#withLastSwitch(status);
    this.#statusAt = common.now();
  }

  /**
   * Notes that the rank uses a map, as another one does that was armed for the same
   * pass. Its own process need not read that first, nor tell it.
   */
  noteSwitched(version: number): void {
    const { epoch = -1 } = this.#status ?? {};
    this.#lastSwitch = { version, epoch };
    if (this.#status) this.#status = this.#withLastSwitch(this.#status);
  }

  /** A state that was read before the last switch is of the past. */
  #withLastSwitch(status: wire.RankStatus): wire.RankStatus {
    const { version, epoch } = this.#lastSwitch;
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
        if (message.status) this.updateStatus(message.status);
        return this.#pendingReplies.get(message.question)?.(message);
      case wire.MessageKind.RankListsAnswer:
        return this.#pendingLists.get(message.question)?.(message.lists);
    }
  }

  /** Reads the state from the engine itself; whether it answered. */
  async refresh(): Promise<boolean> {
    const report = await this.engine.report();
    if (report.isOk()) this.updateStatus(report.value.status);
    return report.isOk();
  }

  /** Experts that the rank holds. */
  async lists(): Promise<wire.RankLists | undefined> {
    const link = this.#link;
    if (link && this.linked) {
      const question = ++this.#question;
      const answer = new Promise<wire.RankLists | undefined>((resolve) =>
        this.#pendingLists.set(question, resolve),
      );
      link.send({ kind: wire.MessageKind.RankListsRequest, question });
      const lists = await common.withTimeout(
        answer,
        ANSWER_TIMEOUT_MILLISECONDS,
      );
      this.#pendingLists.delete(question);
      if (lists) return lists;
    }
    const read = await this.engine.lists();
    return read.isOk() ? read.value : undefined;
  }

  /** Gives an order and tells how it ended. */
  async order(order: wire.RankOrder): Promise<wire.RankReply> {
    const link = this.#link;
    const reply =
      link && this.linked
        ? await this.#sendPreferringChanges(link, order)
        : undefined;
    return reply ?? this.orderDirectly(order);
  }

  /** Gives an order to the engine itself and tells how it ended. */
  async orderDirectly(order: wire.RankOrder): Promise<wire.RankReply> {
    const leadership = this.leadership();
    const outcome = await executeOrder.executeOrder({
      engine: this.engine,
      order,
      ...leadership,
    });
    if (outcome.status) this.updateStatus(outcome.status);
    const kind = wire.MessageKind.RankReply;
    return { kind, question: 0, token: leadership.token, ...outcome };
  }

  /**
   * Sends a map as changes if it can be. Sent whole to each rank of a large group it
   * fills a slow host's link, and the leader's beats wait behind it.
   */
  async #sendPreferringChanges(
    link: wire.Link,
    order: wire.RankOrder,
  ): Promise<wire.RankReply | undefined> {
    if (order.kind !== wire.RankOrderKind.Prepare) {
      return this.#send(link, order);
    }
    const { changes, ...fullOrder } = order;
    const knowsBase = changes?.base === this.#status?.mapVersion;
    const reply =
      changes && knowsBase ? await this.#send(link, changes) : undefined;
    const isFinal = reply && reply.end !== wire.RankOrderEnd.BaseUnknown;
    return isFinal ? reply : this.#send(link, fullOrder);
  }

  async #send(
    link: wire.Link,
    order: wire.SentOrder,
  ): Promise<wire.RankReply | undefined> {
    const question = ++this.#question;
    const answer = new Promise<wire.RankReply>((resolve) =>
      this.#pendingReplies.set(question, resolve),
    );
    const kind = wire.MessageKind.RankCommand;
    link.send({ kind, question, ...this.leadership(), order });
    const reply = await common.withTimeout(answer, ANSWER_TIMEOUT_MILLISECONDS);
    this.#pendingReplies.delete(question);
    return reply;
  }
}
