import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as rankPort from "./rank_port.ts";

/** Why a coordinator cannot go on with a rank. */
export enum RankFailure {
  /** A higher fencing number was promised: another coordinator took over. */
  Superseded = "superseded",
  /** Refused for a reason that repeating does not change. */
  Refused = "refused",
  /** Given up without a definite answer. */
  Unknown = "unknown",
}

/** Definite answer of a rank, or why there is none. */
export type RankReply =
  | { done: true; state: wire.RankState }
  | { done: false; failure: RankFailure; detail: string };

const PAUSE_MILLISECONDS = 50;

/**
 * A coordinator's dealings with one rank under one fencing number. Orders are
 * bound to the incarnation that promised; a restarted agent must promise anew
 * before it is ordered again.
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

  /** Asks for the promise, once. */
  async promise(): Promise<RankReply> {
    const incarnation = this.port.incarnation();
    if (incarnation === undefined) return unknown("no link");
    const { group, fencing } = this;
    const kind = wire.OrderKind.Promise;
    const reply = await this.#send({ kind, group, fencing }, incarnation);
    if (reply.done) this.#promisedBy = incarnation;
    return reply;
  }

  /** Gives an order once; an unknown answer is an answer. */
  async give(order: wire.Order): Promise<RankReply> {
    if (this.#promisedBy === undefined) return unknown("no promise");
    return this.#send(order, this.#promisedBy);
  }

  /**
   * Repeats an order until its answer is definite. Orders are idempotent; an
   * agent that was replaced meanwhile promises anew and is ordered again.
   */
  async insist(order: wire.Order, signal: AbortSignal): Promise<RankReply> {
    let last: RankReply = unknown("stopped");
    while (!signal.aborted) {
      if (this.#promisedBy !== this.port.incarnation()) {
        const promised = await this.promise();
        if (isFinal(promised) && !promised.done) return promised;
      }
      last = await this.give(order);
      if (isFinal(last)) return last;
      await common.sleep(PAUSE_MILLISECONDS, signal);
    }
    return last;
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
        return failed(RankFailure.Superseded, `promised ${answer.fencing}`);
      case wire.OrderRefusal.OldIncarnation:
      case wire.OrderRefusal.NotPromised:
        this.#promisedBy = undefined;
        return unknown(answer.refusal);
      case wire.OrderRefusal.EngineFailed:
        return unknown(answer.refusal);
      case wire.OrderRefusal.StepPassed:
      case wire.OrderRefusal.NotStaged:
      case wire.OrderRefusal.Unsupported:
        return failed(RankFailure.Refused, answer.refusal);
    }
  }
}

function isFinal(reply: RankReply): boolean {
  return reply.done || reply.failure !== RankFailure.Unknown;
}

function unknown(detail: string): RankReply {
  return failed(RankFailure.Unknown, detail);
}

function failed(failure: RankFailure, detail: string): RankReply {
  return { done: false, failure, detail };
}
