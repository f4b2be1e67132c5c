import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as heartbeatRecord from "./heartbeat_record.ts";
import * as mapDifference from "./map_difference.ts";
import type * as rankEngine from "./rank_engine.ts";
import type * as rankMember from "./rank_member.ts";

/** Announced holds that are remembered: those of several switches. */
const MAX_HOLD_NOTICES = 16;

/** What following a leader needs. */
export interface LeaderFollowerParameters {
  host: string;
  engine: rankEngine.RankEngine;
  member: rankMember.RankMember;
  /** Token of the own leadership; -1 if this process does not lead. */
  ownToken: () => number;
  /** Another process leads by a higher token than the own. */
  onNewerLeader: () => void;
}

/**
 * What the process beside a rank does for the leader of its group, and what it keeps
 * of it for the moment in which it has to take over.
 */
export class LeaderFollower {
  /** When a leader was last heard. */
  lastHeartbeatAt = common.now();
  /**
   * What the last leader knew. A leader that dies may leave a pass held; were its
   * successor to ask the store first, the group would stand still for as long as
   * the store is away.
   */
  knowledge: wire.GroupKnowledge | undefined;
  #link: wire.Link | undefined;
  readonly #heartbeatRecord = new heartbeatRecord.HeartbeatRecord();
  /** Holds that leaders announced in this forming of the group, newest last. */
  #holdNotices: wire.HoldNotice[] = [];

  constructor(readonly parameters: LeaderFollowerParameters) {}

  /** Whether a leader has been followed since `forget`. */
  get follows(): boolean {
    return this.#link !== undefined;
  }

  /** Follows nobody, as this process leads. */
  stopFollowing(): void {
    this.#link = undefined;
  }

  /** Holds of one forming of the group that were announced. */
  holdNoticesOf(epoch: number): wire.HoldNotice[] {
    return this.#holdNotices.filter((notice) => notice.epoch === epoch);
  }

  /** The first message on each link. */
  hello(): wire.RankHello {
    const { host, member } = this.parameters;
    const { identity, token } = member;
    return { kind: wire.MessageKind.RankHello, host, identity, token };
  }

  /** Serves the leader, or another process, at the far end of a link. */
  async serve(link: wire.Link, signal: AbortSignal): Promise<void> {
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
          void this.#executeCommand(link, message);
          break;
        case wire.MessageKind.RankListsRequest:
          void this.#sendLists(link, message.question);
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

  /** Tells the leader what the engine was read to say, if it is news. */
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

  /** Notes which pass is about to be held, and where. */
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
    // A leader is linked with itself too.
    if (heartbeat.token === own) return;
    if (heartbeat.token < Math.max(own, member.token)) {
      // Tells an old leader, by the token, that there is a newer one.
      link.send(this.hello());
      return;
    }
    if (own >= 0) onNewerLeader();
    member.acceptToken(heartbeat.token);
    this.lastHeartbeatAt = common.now();
    if (this.#link !== link) {
      this.#heartbeatRecord.reset();
      // A new leader knows nothing of this rank, and a pass may be held.
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

  /** An order as the engine takes it; `undefined` if its map cannot be made. */
  #fullOrder(order: wire.SentOrder): wire.RankOrder | undefined {
    if (order.kind !== wire.RankOrderKind.PrepareChanges) return order;
    const { version, base, exchanges, copyMilliseconds } = order;
    const baseMap = this.parameters.member.mapOf(base);
    const unpacked = wire.unpackDocument<wire.RankMapExchange[]>(exchanges);
    // Sent whole, the map reaches this rank all the same.
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
