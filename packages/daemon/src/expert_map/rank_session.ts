import * as wire from "@geraniumkeel/wire";
import type * as rankPort from "./rank_port.ts";

/** Why an order is not known to have been carried out. */
export enum RankFailure {
  /** The rank promised a higher fencing number to another coordinator. */
  Superseded = "superseded",
  /** The rank refused for a reason that a repetition does not change. */
  Refused = "refused",
  /** The rank's agent lacks the base of the changes and needs the full map. */
  LacksBase = "lacks-base",
  /** The outcome is unknown; a repetition may succeed. */
  Unknown = "unknown",
}

/** State of a rank after an order, or why the order is not known to be done. */
export type RankReply =
  | { done: true; state: wire.RankState }
  | {
      done: false;
      failure: RankFailure;
      detail: string;
      /**
       * Higher fencing number that the rank promised; 0 if it reported none.
       */
      promisedFencing: number;
    };

/**
 * Sends one coordinator's orders to one rank under one fencing number. Each
 * order is addressed to the incarnation of the rank's agent that promised that
 * number, so that a restarted agent refuses it.
 */
export class RankSession {
  /** Incarnation that promised; `undefined` while no promise is known. */
  #promisedBy: string | undefined;
  /** State that the rank reported last. */
  state: wire.RankState | undefined;

  constructor(
    readonly port: rankPort.RankPort,
    readonly group: string,
    readonly fencing: number,
  ) {}

  /** Whether the incarnation that promised is still linked. */
  get isBound(): boolean {
    if (this.#promisedBy === undefined) return false;
    return this.port.incarnations().includes(this.#promisedBy);
  }

  /** Asks for the promise once, if exactly one linked agent claims the rank. */
  async promise(): Promise<RankReply> {
    const [incarnation, ...others] = this.port.incarnations();
    if (incarnation === undefined) return unknown("rank has no linked agent");
    if (others.length > 0) return unknown("rank is claimed by several agents");
    const { group, fencing } = this;
    const kind = wire.OrderKind.Promise;
    const reply = await this.#send({ kind, group, fencing }, incarnation);
    if (reply.done) this.#promisedBy = incarnation;
    return reply;
  }

  /** Asks the incarnation that promised to confirm its promise, once. */
  async confirm(): Promise<RankReply> {
    const { group, fencing } = this;
    return this.order({ kind: wire.OrderKind.Promise, group, fencing });
  }

  /** Sends an order once; a lost answer gives a reply of unknown outcome. */
  async order(order: wire.Order): Promise<RankReply> {
    if (this.#promisedBy === undefined) return unknown("rank has not promised");
    return this.#send(order, this.#promisedBy);
  }

  async #send(order: wire.Order, incarnation: string): Promise<RankReply> {
    const answer = await this.port.order(order, incarnation);
    if (answer === undefined) return unknown("no answer from the rank");
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

/** Whether the outcome is known, so that a repetition cannot change it. */
export function isFinal(reply: RankReply): boolean {
  return reply.done || reply.failure !== RankFailure.Unknown;
}

/** Whether a reply shows that another coordinator has taken over. */
export function isSuperseded(reply: RankReply): boolean {
  return !reply.done && reply.failure === RankFailure.Superseded;
}

/** Reply to an order whose outcome is unknown. */
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
    detail: `rank promised fencing number ${promisedFencing}`,
    promisedFencing,
  };
}
