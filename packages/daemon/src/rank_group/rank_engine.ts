import type * as wire from "@geraniumkeel/wire";
import type * as neverthrow from "neverthrow";

/** What a rank's engine tells of itself. */
export interface RankReport {
  identity: wire.RankIdentity;
  /** Unix millisecond of the engine's start, 0 if it does not tell. */
  bornAt: number;
  status: wire.RankStatus;
  /** Orders that the engine has begun since it started. */
  sequence: number;
  /** Whether it loads what an order asked for. */
  loading: boolean;
}

/** How often each expert was chosen since the engine started. */
export interface ActivationCounts {
  epoch: number;
  /** Unix millisecond of the engine's start, 0 if it does not tell. */
  bornAt: number;
  /** Layer after layer, expert after expert. */
  chosen: number[];
}

/** What an engine said to an order. */
export enum EngineAnswer {
  /** Begun, or already so. */
  Accepted = "accepted",
  /** It does not fit the engine's state, or that state is another by now. */
  Refused = "refused",
  /** A higher token was seen there. */
  OldToken = "old-token",
  /** No answer: it may be carried out, even seconds later. */
  Unknown = "unknown",
}

/** Conditions under which an engine carries an order out. */
export interface OrderConditions {
  token: number;
  epoch: number;
  /** Orders begun so far: an order that comes late meets another number. */
  sequence: number;
}

/** One rank's engine. */
export interface RankEngine {
  report(): Promise<neverthrow.Result<RankReport, string>>;
  chosen(): Promise<neverthrow.Result<ActivationCounts, string>>;
  lists(): Promise<neverthrow.Result<wire.RankLists, string>>;
  order(
    order: wire.RankOrder,
    conditions: OrderConditions,
  ): Promise<EngineAnswer>;
}
