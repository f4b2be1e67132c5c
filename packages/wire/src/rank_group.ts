import type * as traffic from "@geraniumkeel/traffic";
import type * as messageKind from "./message_kind.ts";
import type * as packedDocument from "./packed_document.ts";

/** Experts of one rank or of all, by layer and rank: `map[layer][rank]`. */
export type RankMap = number[][][];

/** The rank that a process runs beside, as the rank's engine reports it. */
export interface RankIdentity {
  group: string;
  /** Group epoch: grows each time the group is re-formed. */
  epoch: number;
  rank: number;
  size: number;
}

/** First message of each side of a link between processes of one group. */
export interface RankHello {
  kind: messageKind.MessageKind.RankHello;
  host: string;
  /** `undefined` until the engine has reported it. */
  identity: RankIdentity | undefined;
  /** Highest fencing token that the sender has accepted. */
  token: number;
}

/**
 * State of a rank's engine, as read from it; names call it `status`, comments
 * the state of the rank. An iteration, which `step`, `armedStep` and `heldStep`
 * number, is the unit that a leader arms, holds and releases. It consists of
 * several engine steps: `stepsPerPass` of `traffic.EngineShape`.
 */
export interface RankStatus {
  epoch: number;
  /** False while the group is newly formed and not yet open. */
  open: boolean;
  /** Number of requests that run on the rank, and that wait there. */
  active: number;
  waiting: number;
  /** Number of the last iteration that was begun. */
  step: number;
  /** Version of the map in force; 0 for the one with which a group starts. */
  mapVersion: number;
  /** Version that is loaded and ready; 0 for none. */
  preparedVersion: number;
  /** Version and iteration of an armed switch; 0 and 0 for none. */
  armedVersion: number;
  armedStep: number;
  /** Iteration that does not begin before a release; -1 for none. */
  heldStep: number;
  /**
   * How many times as long as usual the engine takes for its work. 1 if absent,
   * as in messages of processes that don't know it.
   */
  pace?: number;
}

/**
 * What the leader of a group sends each of its ranks several times a second.
 */
export interface LeaderHeartbeat {
  kind: messageKind.MessageKind.LeaderHeartbeat;
  token: number;
  group: string;
  epoch: number;
  /**
   * How often the receiving rank is to report its activations of experts; 0 for
   * never.
   */
  countMilliseconds: number;
}

/** What a rank sends its leader several times a second. */
export interface RankHeartbeat {
  kind: messageKind.MessageKind.RankHeartbeat;
  token: number;
  identity: RankIdentity;
  status: RankStatus;
  /**
   * How often each expert was activated since the last heartbeat, layer after
   * layer; empty if the rank has nothing to report.
   */
  chosen: number[];
}

/** Kinds of order that a leader gives a rank. */
export enum RankOrderKind {
  /** Load the experts that a map needs, without using the map yet. */
  Prepare = "prepare",
  /**
   * The same, as changes to a map that the process beside the rank has cached;
   * never sent to an engine.
   */
  PrepareChanges = "prepare-changes",
  /** The same, with the map packed; never sent to an engine. */
  PreparePacked = "prepare-packed",
  /** Use a prepared map from an iteration on. */
  Arm = "arm",
  /** Do not begin an iteration before a release. */
  Hold = "hold",
  /** Begin a held iteration. */
  Release = "release",
  /** Continue with the map in force: cancels an order to arm. */
  Disarm = "disarm",
}

/** An order to load the experts that a map needs. */
export interface PrepareOrder {
  kind: RankOrderKind.Prepare;
  version: number;
  map: RankMap;
  /** The same order with its map packed. */
  packed?: PreparePacked;
  /** The same map as changes to a map that most ranks have cached. */
  changes?: PrepareChanges;
  /**
   * Time that a rank takes to load each expert that is new to it, in
   * milliseconds; 0 if unknown.
   */
  copyMilliseconds?: number;
}

/** An order to begin a held iteration. */
export interface ReleaseOrder {
  kind: RankOrderKind.Release;
  step: number;
  /**
   * Version for which the holder must be prepared or armed. If it is not, the
   * state that the leader decided on is over, and the order is refused. Absent
   * in messages of processes that don't know it.
   */
  version?: number;
}

/** An order to a rank's engine. */
export type RankOrder =
  | PrepareOrder
  | { kind: RankOrderKind.Arm; version: number; step: number }
  | { kind: RankOrderKind.Hold; step: number }
  | ReleaseOrder
  | { kind: RankOrderKind.Disarm; version: number };

/**
 * Experts that one rank removes and adds in one layer, from one map to the
 * next. A list and not an object: an order to each of many ranks contains
 * hundreds of them, and the field names would take more bytes than the values.
 */
export type RankMapExchange = [
  layer: number,
  rank: number,
  removed: number[],
  added: number[],
];

/**
 * An order to prepare a map that is derived from one that the rank received
 * before.
 */
export interface PrepareChanges {
  kind: RankOrderKind.PrepareChanges;
  version: number;
  /** Version of the map to which the changes apply. */
  base: number;
  /** A list of `RankMapExchange`, packed once for all ranks. */
  exchanges: packedDocument.PackedDocument;
  copyMilliseconds?: number;
}

/** An order to prepare a map that is sent packed, as it is long. */
export interface PreparePacked {
  kind: RankOrderKind.PreparePacked;
  version: number;
  /** A `RankMap`, packed once for all ranks. */
  map: packedDocument.PackedDocument;
  copyMilliseconds?: number;
}

/** An order as it is sent to the process beside a rank. */
export type SentOrder = RankOrder | PrepareChanges | PreparePacked;

/** An order from the leader. */
export interface RankCommand {
  kind: messageKind.MessageKind.RankCommand;
  /** Number that the reply repeats, so that the leader can match the two. */
  question: number;
  /** Fencing token of the leader. */
  token: number;
  epoch: number;
  order: SentOrder;
}

/** Outcome of an order. */
export enum RankOrderEnd {
  /** The engine is in the state that the order asks for. */
  Done = "done",
  /** The engine will not carry the order out, however often it is repeated. */
  Refused = "refused",
  /** A higher fencing token was accepted: another process leads. */
  Superseded = "superseded",
  /** The engine gave no definite answer in time. */
  Unknown = "unknown",
  /**
   * The process beside the rank cannot apply the changes, because it has not
   * cached their base map; the leader has to send the full map.
   */
  BaseUnknown = "base-unknown",
}

/**
 * Answer to an order, with the engine's state as last read, which may be from
 * before the order.
 */
export interface RankReply {
  kind: messageKind.MessageKind.RankReply;
  /** Number of the answered command; 0 if the reply crosses no link. */
  question: number;
  end: RankOrderEnd;
  /** Reason for an outcome other than "done"; may be empty. */
  detail: string;
  /**
   * Highest fencing token that the process beside the rank has accepted; the
   * leader's own if it sent the order directly to the engine.
   */
  token: number;
  status: RankStatus | undefined;
}

/** Asks the process beside a rank for the rank's lists of experts. */
export interface RankListsRequest {
  kind: messageKind.MessageKind.RankListsRequest;
  question: number;
}

/** Experts that a rank has under the map in force. */
export interface RankLists {
  /** Version of the map in force. */
  version: number;
  /** Experts by layer. */
  experts: number[][];
}

/** Answer to a request for lists; `undefined` if the engine did not answer. */
export interface RankListsAnswer {
  kind: messageKind.MessageKind.RankListsAnswer;
  question: number;
  lists: RankLists | undefined;
}

/**
 * Sent to all ranks just before a leader orders one of them to hold an
 * iteration.
 */
export interface HoldNotice {
  kind: messageKind.MessageKind.HoldNotice;
  group: string;
  epoch: number;
  /**
   * Rank beside which the leading process runs; that process arms it after all
   * others.
   */
  leader: number;
  /** Rank that holds the iteration. */
  holder: number;
  /** Number of the iteration. */
  step: number;
}

/** The engines of a group, and what their streams must achieve. */
export interface GroupModel {
  shape: traffic.EngineShape;
  /**
   * Longest pause between two events of a stream that still counts as on time,
   * in milliseconds; 0 if no route sets one.
   */
  gapMilliseconds: number;
}

/** What a leader knows of its group and a successor needs immediately. */
export interface GroupKnowledge {
  kind: messageKind.MessageKind.GroupKnowledge;
  group: string;
  epoch: number;
  /** Runner of each rank, in order of rank. */
  runners: traffic.RunnerEntry[];
  model: GroupModel;
}
