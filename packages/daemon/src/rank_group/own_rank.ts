import * as wire from "@geraniumkeel/wire";
import type * as rankEngine from "./rank_engine.ts";
import type * as rankMember from "./rank_member.ts";
import * as linkedRank from "./linked_rank.ts";

/** The rank beside the leader: its orders go through the process's own queue. */
export class OwnRank extends linkedRank.LinkedRank {
  constructor(
    rank: number,
    engine: rankEngine.RankEngine,
    leadership: () => linkedRank.Leadership,
    readonly member: rankMember.RankMember,
  ) {
    super(rank, engine, leadership);
  }

  /** Gives an order and tells how it ended. */
  override async order(order: wire.RankOrder): Promise<wire.RankReply> {
    const leadership = this.leadership();
    const outcome = await this.member.execute({ ...leadership, order });
    if (outcome.status) this.updateStatus(outcome.status);
    const kind = wire.MessageKind.RankReply;
    return { kind, question: 0, token: this.member.token, ...outcome };
  }

  /** Gives an order; the process beside the rank is this one. */
  override orderDirectly(order: wire.RankOrder): Promise<wire.RankReply> {
    return this.order(order);
  }
}
