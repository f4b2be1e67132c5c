import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as executeOrder from "./execute_order.ts";
import * as prepareOrder from "./prepare_order.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as rankHandle from "./rank_handle.ts";

/**
 * Age up to which a rank's state counts as fresh. A leader reads an older one
 * from the engine directly.
 */
const MAX_STATUS_AGE_MILLISECONDS = 900;
/** How long the leader waits for an answer of the process beside a rank. */
const ANSWER_TIMEOUT_MILLISECONDS = 400;
/**
 * The same for an order for which nothing waits, while the process is heard from: one
 * sent to the engine as well would make a link that is slow slower.
 */
const UNHURRIED_TIMEOUT_MILLISECONDS = 1_600;

/** Shortest time from one direct reading of a rank's state to the next. */
const MIN_REFRESH_INTERVAL_MILLISECONDS = 150;

/** Fencing token of a leader, and the group epoch in which it leads. */
export interface Leadership {
  token: number;
  epoch: number;
}

/**
 * A leader's handle on one rank of its group. Orders go through the process
 * beside the rank, which costs nothing. While that process is away they go
 * directly to the engine, so that a group in which an iteration is held never
 * waits for the process to return.
 */
export class LinkedRank implements rankHandle.RankHandle {
  #status: wire.RankStatus | undefined;
  #statusAt = -Infinity;
  #refreshedAt = -Infinity;
  /**
   * The last switch that the rank is known to have made, with its group epoch.
   */
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

  /** The latest state received; `undefined` before the first one. */
  get status(): wire.RankStatus | undefined {
    return this.#status;
  }

  /** Whether the state is recent enough to plan by. */
  get fresh(): boolean {
    return common.now() - this.#statusAt < MAX_STATUS_AGE_MILLISECONDS;
  }

  /** Whether the state is out of date, and may be read directly again. */
  get isRefreshDue(): boolean {
    if (this.fresh) return false;
    const sinceRefresh = common.now() - this.#refreshedAt;
    return sinceRefresh >= MIN_REFRESH_INTERVAL_MILLISECONDS;
  }

  /** Whether the process beside the rank is linked. */
  get linked(): boolean {
    return this.#link !== undefined && this.#link.end === undefined;
  }

  /** Uses a link to the process beside the rank from now on. */
  attach(link: wire.Link): void {
    this.#link = link;
  }

  /** Records the rank's state. */
  updateStatus(status: wire.RankStatus): void {
    this.#status = this.#withLastSwitch(status);
    this.#statusAt = common.now();
  }

  /**
   * Records that the rank uses a map, because another rank that was armed for
   * the same iteration does. The leader then need not wait until the rank's own
   * process has read and reported that.
   */
  noteSwitched(version: number): void {
    const { epoch = -1 } = this.#status ?? {};
    this.#lastSwitch = { version, epoch };
    if (this.#status) this.#status = this.#withLastSwitch(this.#status);
  }

  /** Corrects a state that was read before the last switch. */
  #withLastSwitch(status: wire.RankStatus): wire.RankStatus {
    const { version, epoch } = this.#lastSwitch;
    const isPast = status.epoch === epoch && status.mapVersion < version;
    if (!isPast) return status;
    return { ...status, mapVersion: version, armedVersion: 0, armedStep: 0 };
  }

  /** Accepts an answer if it came on this rank's link. */
  receive(
    message: wire.RankReply | wire.RankListsAnswer,
    link: wire.Link,
  ): void {
    if (link !== this.#link) return;
    switch (message.kind) {
      case wire.MessageKind.RankReply:
        // The state is recorded here, in order of arrival. The caller that
        // awaits the reply runs later and would overwrite the state of a newer
        // heartbeat with this older one. The leader would then wait until the
        // next heartbeat for a state that it already had.
        if (message.status) this.updateStatus(message.status);
        return this.#pendingReplies.get(message.question)?.(message);
      case wire.MessageKind.RankListsAnswer:
        return this.#pendingLists.get(message.question)?.(message.lists);
    }
  }

  /** Reads the state from the engine directly. Returns whether it answered. */
  async refresh(): Promise<boolean> {
    this.#refreshedAt = common.now();
    const report = await this.engine.report();
    if (report.isOk()) this.updateStatus(report.value.status);
    return report.isOk();
  }

  /**
   * The experts of the rank under the map in force; `undefined` if neither the
   * process beside it nor its engine answers.
   */
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

  /** Has the rank carry out an order, and returns the outcome. */
  async order(
    order: wire.RankOrder,
    urgency = rankHandle.OrderUrgency.Awaited,
  ): Promise<wire.RankReply> {
    const link = this.#link;
    const reply =
      link && this.linked
        ? await this.#sendPreferringChanges(link, order, urgency)
        : undefined;
    return reply ?? this.orderDirectly(order);
  }

  /** Sends an order to the engine directly, and returns the outcome. */
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
   * Sends a map as changes if the rank has the base map in force, else whole and
   * packed.
   */
  async #sendPreferringChanges(
    link: wire.Link,
    order: wire.RankOrder,
    urgency: rankHandle.OrderUrgency,
  ): Promise<wire.RankReply | undefined> {
    if (order.kind !== wire.RankOrderKind.Prepare) {
      return this.#send(link, order, urgency);
    }
    const { changes } = order;
    const knowsBase = changes?.base === this.#status?.mapVersion;
    const reply =
      changes && knowsBase
        ? await this.#send(link, changes, urgency)
        : undefined;
    const isFinal = reply && reply.end !== wire.RankOrderEnd.BaseUnknown;
    if (isFinal) return reply;
    return this.#send(link, prepareOrder.packedOrder(order), urgency);
  }

  /**
   * Sends an order over a link. Returns `undefined` if no reply arrives in
   * time.
   */
  async #send(
    link: wire.Link,
    order: wire.SentOrder,
    urgency: rankHandle.OrderUrgency,
  ): Promise<wire.RankReply | undefined> {
    const question = ++this.#question;
    const answer = new Promise<wire.RankReply>((resolve) =>
      this.#pendingReplies.set(question, resolve),
    );
    const kind = wire.MessageKind.RankCommand;
    link.send({ kind, question, ...this.leadership(), order });
    const reply = await this.#awaitReply(answer, urgency);
    this.#pendingReplies.delete(question);
    return reply;
  }

  async #awaitReply(
    answer: Promise<wire.RankReply>,
    urgency: rankHandle.OrderUrgency,
  ): Promise<wire.RankReply | undefined> {
    const sentAt = common.now();
    const limit = timeoutOf(urgency);
    for (;;) {
      const reply = await common.withTimeout(
        answer,
        ANSWER_TIMEOUT_MILLISECONDS,
      );
      const isOver = common.now() - sentAt >= limit;
      if (reply || isOver || !this.linked || !this.fresh) return reply;
    }
  }
}

/** For how long the reply to an order is waited for, in milliseconds. */
function timeoutOf(urgency: rankHandle.OrderUrgency): number {
  switch (urgency) {
    case rankHandle.OrderUrgency.Awaited:
      return ANSWER_TIMEOUT_MILLISECONDS;
    case rankHandle.OrderUrgency.Unhurried:
      return UNHURRIED_TIMEOUT_MILLISECONDS;
  }
}
