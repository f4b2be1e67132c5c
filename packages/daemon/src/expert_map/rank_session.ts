import * as wire from "@geraniumkeel/wire";
import type * as rankPort from "./rank_port.ts";

/** Why a coordinator cannot go on with a rank. */
export enum RankFailure {
  /** A higher fencing number was promised: another coordinator took over. */
  Superseded = "superseded",
  /** Refused for a reason that repeating does not change. */
  Refused = "refused",
  /** It needs the whole map. */
  LacksBase = "lacks-base",
  /** Given up without a definite answer. */
  Unknown = "unknown",
}

/** Definite answer of a rank, or why there is none. */
export type RankReply =
  | { done: true; state: wire.RankState }
  | {
      done: false;
      failure: RankFailure;
      detail: string;
      /** Fencing number that the rank obeys instead; 0 if it told none. */
      promisedFencing: number;
    };

/**
 * A coordinator's dealings with one rank under one fencing number. Orders are
 * bound to the incarnation that promised.
 */
export class RankSession {
  #promisedBy: string | undefined;
  /** State as last read. */
  state: wire.RankState | undefined;

  constructor(
    readonly port: rankPort.RankPort,
    readonly group: string,
    readonly fencing: number,
  ) {}

  /** Whether the agent that promised is still the one in place. */
  get isBound(): boolean {
    if (this.#promisedBy === undefined) return false;
    return this.port.incarnations().includes(this.#promisedBy);
  }

  /** Asks the agent in place for the promise, once, if there is just one. */
  async promise(): Promise<RankReply> {
    const [incarnation, ...others] = this.port.incarnations();
    if (incarnation === undefined) return unknown("no link");
    if (others.length > 0) return unknown("claimed by two agents");
    const { group, fencing } = this;
    const kind = wire.OrderKind.Promise;
    const reply = await this.#send({ kind, group, fencing }, incarnation);
    if (reply.done) this.#promisedBy = incarnation;
    return reply;
  }

  /** Asks the agent that promised whether it still stands by it. */
  async confirm(): Promise<RankReply> {
    const { group, fencing } = this;
    return this.order({ kind: wire.OrderKind.Promise, group, fencing });
  }

  /** Gives an order once; an unknown answer is an answer. */
  async order(order: wire.Order): Promise<RankReply> {
    if (this.#promisedBy === undefined) return unknown("no promise");
    return this.#send(order, this.#promisedBy);
  }

  async #send(order: wire.Order, incarnation: string): Promise<RankReply> {
    const answer = await this.port.order(order, incarnation);
    if (answer === undefined) return unknown("no answer");
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
        return unknown(answer.refusal);
      case wire.OrderRefusal.EngineFailed:
        return unknown(answer.refusal);
      case wire.OrderRefusal.UnknownBase:
        return failed(RankFailure.LacksBase, answer.refusal);
      case wire.OrderRefusal.StepPassed:
      case wire.OrderRefusal.NotStaged:
      case wire.OrderRefusal.Unsupported:
        return failed(RankFailure.Refused, answer.refusal);
    }
  }
}

/** Whether repeating cannot change the reply. */
export function isFinal(reply: RankReply): boolean {
  return reply.done || reply.failure !== RankFailure.Unknown;
}

/** Whether a reply tells that another coordinator has taken over. */
export function isSuperseded(reply: RankReply): boolean {
  return !reply.done && reply.failure === RankFailure.Superseded;
}

/** The reply of something that never came to a definite answer. */
export function unknown(detail: string): RankReply {
  return failed(RankFailure.Unknown, detail);
}

function failed(failure: RankFailure, detail: string): RankReply {
  return { done: false, failure, detail, promisedFencing: 0 };
}

function superseded(promisedFencing: number): RankReply {
  const failure = RankFailure.Superseded;
  return {
    done: false,
    failure,
    detail: `promised ${promisedFencing}`,
    promisedFencing,
  };
}
