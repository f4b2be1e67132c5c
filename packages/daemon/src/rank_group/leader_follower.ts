import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as heartbeatRecord from "./heartbeat_record.ts";
import * as mapDifference from "./map_difference.ts";
import type * as rankEngine from "./rank_engine.ts";
import type * as rankMember from "./rank_member.ts";

/**
 * How many notices of held iterations the process retains, which covers several
 * switches.
 */
const MAX_HOLD_NOTICES = 16;

/** What following a leader needs. */
export interface LeaderFollowerParameters {
  host: string;
  engine: rankEngine.RankEngine;
  member: rankMember.RankMember;
  /** Fencing token of this process as leader; -1 if it does not lead. */
  ownToken: () => number;
  /**
   * Called when another process leads with a higher fencing token than this
   * one.
   */
  onNewerLeader: () => void;
  lifeCycle: common.LifeCycle;
}

/**
 * The follower's side of the process beside a rank: carries out the leader's
 * commands, reports the state of the engine, and retains what this process
 * needs if it has to take over the lead.
 */
export class LeaderFollower {
  /**
   * When the latest heartbeat of a leader arrived. `RankProcess` also sets it:
   * to now while it does not wait for a leader, to `-Infinity` to lead at once.
   */
  lastHeartbeatAt = common.now();
  /**
   * What the last leader knew of the group. A leader that crashes may leave an
   * iteration held. If its successor had to read the store first, the group
   * would stand still for the time that the store is unavailable.
   */
  knowledge: wire.GroupKnowledge | undefined;
  /**
   * Link to the leader that this process follows; `undefined` if it follows
   * none.
   */
  #link: wire.Link | undefined;
  readonly #heartbeatRecord = new heartbeatRecord.HeartbeatRecord();
  /**
   * Notices of held iterations in the current group epoch, newest last.
   */
  #holdNotices: wire.HoldNotice[] = [];

  constructor(readonly parameters: LeaderFollowerParameters) {}

  /** Whether this process has followed a leader since `stopFollowing`. */
  get follows(): boolean {
    return this.#link !== undefined;
  }

  /** Forgets the leader, because this process leads. */
  stopFollowing(): void {
    this.#link = undefined;
  }

  /** The notices of held iterations that arrived in a group epoch. */
  holdNoticesOf(epoch: number): wire.HoldNotice[] {
    return this.#holdNotices.filter((notice) => notice.epoch === epoch);
  }

  /** The first message on each link. */
  hello(): wire.RankHello {
    const { host, member } = this.parameters;
    const { identity, token } = member;
    return { kind: wire.MessageKind.RankHello, host, identity, token };
  }

  /**
   * Answers the process at the far end of a link, which may be the leader,
   * until the link closes.
   */
  async serve(link: wire.Link, signal: AbortSignal): Promise<void> {
    try {
      await this.#receiveFrom(link, signal);
    } finally {
      link.close();
    }
  }

  async #receiveFrom(link: wire.Link, signal: AbortSignal): Promise<void> {
    const { lifeCycle } = this.parameters;
    link.closeOn(signal);
    link.send(this.hello());
    for await (const message of link.messages()) {
      switch (message.kind) {
        case wire.MessageKind.RankHello:
          break;
        case wire.MessageKind.LeaderHeartbeat:
          this.#acceptHeartbeat(link, message);
          break;
        case wire.MessageKind.RankCommand:
          lifeCycle.run("command", () => this.#executeCommand(link, message));
          break;
        case wire.MessageKind.RankListsRequest:
          lifeCycle.run("lists", () => this.#sendLists(link, message.question));
          break;
        case wire.MessageKind.GroupKnowledge:
          this.knowledge = message;
          break;
        case wire.MessageKind.HoldNotice:
          this.recordHoldNotice(message);
          break;
        default:
          link.close(wire.LinkEnd.Unreadable);
      }
    }
  }

  /**
   * Sends the leader a heartbeat with the state of the engine and its new
   * activations, if either is due.
   */
  report(): void {
    const { member } = this.parameters;
    const { identity, status, token } = member;
    const link = this.#link;
    if (!identity || !status || !link || link.end !== undefined) return;
    const chosen = member.takeCounts();
    const isDue = this.#heartbeatRecord.recordIfDue(status, common.now());
    if (!isDue && chosen.length === 0) return;
    const kind = wire.MessageKind.RankHeartbeat;
    link.send({ kind, token, identity, status, chosen });
  }

  /**
   * Records which iteration is about to be held, and by which rank. If it is
   * this rank, the process reads the state of its engine often for a moment, so
   * that the leader soon sees the hold.
   */
  recordHoldNotice(notice: wire.HoldNotice): void {
    const { member } = this.parameters;
    const ofSameEpoch = this.holdNoticesOf(notice.epoch);
    this.#holdNotices = [...ofSameEpoch, notice].slice(-MAX_HOLD_NOTICES);
    if (notice.holder === member.identity?.rank) member.readClosely();
  }

  #acceptHeartbeat(link: wire.Link, heartbeat: wire.LeaderHeartbeat): void {
    const { member, ownToken, onNewerLeader } = this.parameters;
    if (heartbeat.group !== member.identity?.group) return;
    const own = ownToken();
    // A leader also has a link to itself.
    if (heartbeat.token === own) return;
    if (heartbeat.token < Math.max(own, member.token)) {
      // The fencing token in this message shows an old leader that there is a
      // newer one.
      link.send(this.hello());
      return;
    }
    if (own >= 0) onNewerLeader();
    member.acceptToken(heartbeat.token);
    this.lastHeartbeatAt = common.now();
    if (this.#link !== link) {
      this.#heartbeatRecord.reset();
      // A new leader has no state of this rank yet, and an iteration may be
      // held.
      member.readClosely();
    }
    this.#link = link;
    member.setCountPeriod(heartbeat.countMilliseconds);
  }

  async #executeCommand(
    link: wire.Link,
    command: wire.RankCommand,
  ): Promise<void> {
    const { member } = this.parameters;
    const { question, token, epoch } = command;
    const kind = wire.MessageKind.RankReply;
    const order = this.#fullOrder(command.order);
    if (!order) {
      const end = wire.RankOrderEnd.BaseUnknown;
      const { status, token: highestToken } = member;
      link.send({
        kind,
        question,
        token: highestToken,
        end,
        detail: "",
        status,
      });
      return;
    }
    const outcome = await member.execute({ token, epoch, order });
    link.send({ kind, question, token: member.token, ...outcome });
  }

  /**
   * The order in the form that the engine accepts, with the full map.
   * `undefined` if the map cannot be read, or derived from the changes.
   */
  #fullOrder(order: wire.SentOrder): wire.RankOrder | undefined {
    switch (order.kind) {
      case wire.RankOrderKind.PreparePacked:
        return unpackedOrder(order);
      case wire.RankOrderKind.PrepareChanges:
        return this.#changedOrder(order);
      default:
        return order;
    }
  }

  #changedOrder(order: wire.PrepareChanges): wire.PrepareOrder | undefined {
    const { version, base, exchanges, copyMilliseconds } = order;
    const baseMap = this.parameters.member.mapOf(base);
    const unpacked = wire.unpackDocument<wire.RankMapExchange[]>(exchanges);
    // The leader then sends the full map.
    if (!baseMap || unpacked.isErr()) return undefined;
    const map = mapDifference.withExchanges(baseMap, unpacked.value);
    return {
      kind: wire.RankOrderKind.Prepare,
      version,
      map,
      copyMilliseconds,
    };
  }

  async #sendLists(link: wire.Link, question: number): Promise<void> {
    const read = await this.parameters.engine.lists();
    const lists = read.isOk() ? read.value : undefined;
    link.send({ kind: wire.MessageKind.RankListsAnswer, question, lists });
  }
}

function unpackedOrder({
  version,
  map: packed,
  copyMilliseconds,
}: wire.PreparePacked): wire.PrepareOrder | undefined {
  const map = wire.unpackDocument<wire.RankMap>(packed);
  if (map.isErr()) return undefined;
  const kind = wire.RankOrderKind.Prepare;
  return { kind, version, map: map.value, copyMilliseconds };
}
