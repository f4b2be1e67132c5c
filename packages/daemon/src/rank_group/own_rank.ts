import * as wire from "@geraniumkeel/wire";
import type * as rankEngine from "./rank_engine.ts";
import type * as rankMember from "./rank_member.ts";
import * as linkedRank from "./linked_rank.ts";

/**
 * A leader's handle on the rank beside itself. Orders go through the process's
 * own queue, so that they run one at a time with those of other leaders.
 */
export class OwnRank extends linkedRank.LinkedRank {
  constructor(
    rank: number,
    engine: rankEngine.RankEngine,
    leadership: () => linkedRank.Leadership,
    readonly member: rankMember.RankMember,
  ) {
    super(rank, engine, leadership);
  }

  /** Has the rank carry out an order, and returns the outcome. */
  override async order(order: wire.RankOrder): Promise<wire.RankReply> {
    const leadership = this.leadership();
    const outcome = await this.member.execute({ ...leadership, order });
    if (outcome.status) this.updateStatus(outcome.status);
    const kind = wire.MessageKind.RankReply;
    return { kind, question: 0, token: this.member.token, ...outcome };
  }

  /** The same as `order`, as this process is the one beside the rank. */
  override orderDirectly(order: wire.RankOrder): Promise<wire.RankReply> {
    return this.order(order);
  }
}
