import type * as wire from "@geraniumkeel/wire";
import type * as neverthrow from "neverthrow";

/** What a rank's engine reports of itself. */
export interface RankReport {
  identity: wire.RankIdentity;
  /**
   * Unix time of the engine's start in milliseconds; 0 if the engine does not
   * report it.
   */
  bornAt: number;
  status: wire.RankStatus;
  /**
   * Number of orders that the engine has begun since it started; not related to
   * the sequences of tokens that an engine runs.
   */
  sequence: number;
  /** Whether the engine is loading what an order asked for. */
  loading: boolean;
}

/** How often each expert was activated since the engine started. */
export interface ActivationCounts {
  epoch: number;
  /**
   * Unix time of the engine's start in milliseconds; 0 if the engine does not
   * report it.
   */
  bornAt: number;
  /**
   * Number of activations of each expert since the engine started, layer after
   * layer and expert after expert.
   */
  chosen: number[];
}

/** How an engine answered an order. */
export enum EngineAnswer {
  /** The engine carries the order out, or had already done so. */
  Accepted = "accepted",
  /**
   * The order does not fit the engine's state, or the state is no longer the
   * one that the conditions name.
   */
  Refused = "refused",
  /** The engine has seen a higher fencing token. */
  OldToken = "old-token",
  /** No answer. The engine may carry the order out, even seconds later. */
  Unknown = "unknown",
}

/** Conditions under which an engine carries an order out. */
export interface OrderConditions {
  token: number;
  epoch: number;
  /**
   * Number of orders that the engine had begun when the sender last read its
   * state. An engine that counts its orders refuses this one if it has begun
   * another since, so a copy that arrives late has no effect.
   */
  sequence: number;
}

/** Reads the state of one rank's engine. */
export interface StateReader {
  /** Reads identity and state. */
  report(): Promise<neverthrow.Result<RankReport, string>>;
}

/** Client of one rank's engine. */
export interface RankEngine extends StateReader {
  /** Reads how often each expert was activated since the engine started. */
  chosen(): Promise<neverthrow.Result<ActivationCounts, string>>;
  /**
   * Reads the lists of experts, one for each layer, that the rank has under the
   * map in force.
   */
  lists(): Promise<neverthrow.Result<wire.RankLists, string>>;
  /** Has the engine carry out an order if the conditions are still met. */
  order(
    order: wire.RankOrder,
    conditions: OrderConditions,
  ): Promise<EngineAnswer>;
}
