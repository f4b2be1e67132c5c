import * as wire from "@geraniumkeel/wire";
import type * as rankEngine from "./rank_engine.ts";
import type * as rankMember from "./rank_member.ts";
import * as linkedRank from "./linked_rank.ts";

/**
 * A leader's handle on its own rank: the one that this process runs beside. It
 * needs no link. Orders go through the queue of this process's `RankMember`,
 * which also has those that other processes send while they believe that they
 * lead. So the rank carries out one order at a time, whoever gave it.
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
    // The reply crosses no link, so it needs no number to match it by.
    return { kind, question: 0, token: this.member.token, ...outcome };
  }

  /** The same as `order`, as this process is the one beside the rank. */
  override orderDirectly(order: wire.RankOrder): Promise<wire.RankReply> {
    return this.order(order);
  }
}
