import * as wire from "@geraniumkeel/wire";
import type * as rankConnection from "./rank_connection.ts";

/** Why a rank did not carry out an order, or may not have done so. */
export enum RankFailure {
  /** The rank obeys another coordinator, with a higher fencing number. */
  Superseded = "superseded",
  /** The rank refused for a reason that a repetition does not remove. */
  Refused = "refused",
  /**
   * The order stages a map as changes to an earlier map, its base, which the
   * rank's upstream process does not have. It needs the complete map instead.
   */
  LacksBase = "lacks-base",
  /**
   * The order may succeed if it is repeated. Either its outcome is unknown,
   * because no answer arrived or the engine failed while it ran the order. Or
   * the rank has no linked upstream process that promised, so the order was not
   * carried out; the coordinator must then get a promise first.
   */
  Retryable = "unknown",
}

/**
 * State of a rank after an order, or why the order failed or may have failed.
 */
export type RankReply =
  | { done: true; state: wire.RankState }
  | {
      done: false;
      failure: RankFailure;
      detail: string;
      /**
       * Fencing number that the rank's upstream process has promised, if the
       * rank refused the order as outdated; otherwise 0.
       */
      promisedFencing: number;
    };

/**
 * Sends one coordinator's orders to one rank under one fencing number. Each
 * order is addressed to the incarnation of the rank's upstream process that
 * promised that number, so that a restarted upstream process refuses it.
 */
export class RankSession {
  /** Incarnation that promised; `undefined` while no promise is known. */
  #promisedBy: string | undefined;
  /** State that the rank reported last. */
  state: wire.RankState | undefined;

  constructor(
    readonly connection: rankConnection.RankConnection,
    readonly group: string,
    readonly fencing: number,
  ) {}

  /**
   * Whether the incarnation of the upstream process that promised is known and
   * still linked.
   */
  get isPromiserLinked(): boolean {
    if (this.#promisedBy === undefined) return false;
    return this.connection.incarnations().includes(this.#promisedBy);
  }

  /**
   * Orders the rank to promise the fencing number, if exactly one linked
   * upstream process claims the rank. Does not repeat the order if the answer
   * is lost.
   */
  async promise(): Promise<RankReply> {
    const [incarnation, ...others] = this.connection.incarnations();
    if (incarnation === undefined)
      return retryableReply("rank has no linked upstream process");
    if (others.length > 0)
      return retryableReply("rank is claimed by several upstream processes");
    const { group, fencing } = this;
    const kind = wire.OrderKind.Promise;
    const reply = await this.#send({ kind, group, fencing }, incarnation);
    if (reply.done) this.#promisedBy = incarnation;
    return reply;
  }

  /**
   * Sends the order to promise again, to the incarnation that promised, without
   * repeating it if the answer is lost. `GroupTerm.establish` says why a
   * promise must be confirmed.
   */
  async confirm(): Promise<RankReply> {
    const { group, fencing } = this;
    return this.order({ kind: wire.OrderKind.Promise, group, fencing });
  }

  /**
   * Sends an order to the incarnation that promised, without repeating it if
   * the answer is lost. The reply is then `RankFailure.Retryable`.
   */
  async order(order: wire.Order): Promise<RankReply> {
    if (this.#promisedBy === undefined)
      return retryableReply("rank has not promised");
    return this.#send(order, this.#promisedBy);
  }

  async #send(order: wire.Order, incarnation: string): Promise<RankReply> {
    const answer = await this.connection.order(order, incarnation);
    if (answer === undefined)
      return retryableReply("rank is not linked or did not answer in time");
    if (answer.done) {
      this.state = answer.state;
      return answer;
    }
    switch (answer.refusal) {
      case wire.OrderRefusal.OldFencing:
        return superseded(answer.fencing);
      case wire.OrderRefusal.OldIncarnation:
      case wire.OrderRefusal.NotPromised:
        this.#promisedBy = undefined;
        return retryableReply(answer.refusal);
      case wire.OrderRefusal.EngineFailed:
        // An engine that did not answer may have carried out the order.
        return retryableReply(answer.refusal);
      case wire.OrderRefusal.UnknownBase:
        return failed(RankFailure.LacksBase, answer.refusal);
      case wire.OrderRefusal.StepPassed:
      case wire.OrderRefusal.NotStaged:
      case wire.OrderRefusal.Unsupported:
        return failed(RankFailure.Refused, answer.refusal);
    }
  }
}

/**
 * Whether the coordinator need not repeat the order: the rank carried it out,
 * or refused it for a reason that a repetition does not remove.
 */
export function isFinal(reply: RankReply): boolean {
  return reply.done || reply.failure !== RankFailure.Retryable;
}

/** Whether a reply shows that another coordinator has taken over. */
export function isSuperseded(reply: RankReply): boolean {
  return !reply.done && reply.failure === RankFailure.Superseded;
}

/** Reply to an order that may succeed if it is repeated. */
export function retryableReply(detail: string): RankReply {
  return failed(RankFailure.Retryable, detail);
}

function failed(failure: RankFailure, detail: string): RankReply {
  return { done: false, failure, detail, promisedFencing: 0 };
}

function superseded(promisedFencing: number): RankReply {
  const failure = RankFailure.Superseded;
  return {
    done: false,
    failure,
    detail: `rank refused the order as outdated; it promised fencing number ${promisedFencing}`,
    promisedFencing,
  };
}
