import type * as traffic from "@geraniumkeel/traffic";
import type * as messageKind from "./message_kind.ts";
import type * as packedDocument from "./packed_document.ts";

/** Experts of one rank or of all, by layer and rank: `map[layer][rank]`. */
export type RankMap = number[][][];

/** The rank next to which a process runs, as its engine tells. */
export interface RankIdentity {
  group: string;
  /** Grows each time the group is formed anew. */
  epoch: number;
  rank: number;
  size: number;
}

/** First message of each side of a link between processes of one group. */
export interface RankHello {
  kind: messageKind.MessageKind.RankHello;
  host: string;
  /** `undefined` while the engine has not told it. */
  identity: RankIdentity | undefined;
  /** Highest token that was obeyed. */
  token: number;
}

/** State of a rank's engine, as read from it. */
export interface RankStatus {
  epoch: number;
  open: boolean;
  /** Requests that run and that wait there. */
  active: number;
  waiting: number;
  /** Last pass that was begun. */
  step: number;
  mapVersion: number;
  /** Version that is loaded and ready; 0 for none. */
  preparedVersion: number;
  /** Version and pass of an armed switch; 0 and 0 for none. */
  armedVersion: number;
  armedStep: number;
  /** Pass that does not begin before a release; -1 for none. */
  heldStep: number;
}

/** What the leader of a group tells all its ranks several times a second. */
export interface LeaderHeartbeat {
  kind: messageKind.MessageKind.LeaderHeartbeat;
  token: number;
  group: string;
  epoch: number;
  /** How often this rank tells what its requests choose; 0 for never. */
  countMilliseconds: number;
}

/** What a rank tells its leader several times a second. */
export interface RankHeartbeat {
  kind: messageKind.MessageKind.RankHeartbeat;
  token: number;
  identity: RankIdentity;
  status: RankStatus;
  /** How often each expert was chosen since the last beat, layer after layer. */
  chosen: number[];
}

/** Kinds of order that a leader gives a rank. */
export enum RankOrderKind {
  /** Load what a map needs, without using it. */
  Prepare = "prepare",
  /** The same, told as changes to a map that the rank knows; not for engines. */
  PrepareChanges = "prepare-changes",
  /** Use a prepared map from a pass on. */
  Arm = "arm",
  /** Do not begin a pass before a release. */
  Hold = "hold",
  /** Begin a held pass. */
  Release = "release",
  /** Keep the map in force although armed. */
  Disarm = "disarm",
}

/** An order to load what a map needs. */
export interface PrepareOrder {
  kind: RankOrderKind.Prepare;
  version: number;
  map: RankMap;
  /** The same as changes to a map that most ranks know. */
  changes?: PrepareChanges;
  /** Time that a rank loads for each expert that is new to it; 0 if it is not known. */
  copyMilliseconds?: number;
}

/** An order to a rank's engine. */
export type RankOrder =
  | PrepareOrder
  | { kind: RankOrderKind.Arm; version: number; step: number }
  | { kind: RankOrderKind.Hold; step: number }
  | { kind: RankOrderKind.Release; step: number }
  | { kind: RankOrderKind.Disarm; version: number };

/**
 * Experts that one rank gives up and takes in one layer, from one map to the next. A
 * list and not an object: there are hundreds of them in an order to each of many ranks,
 * and names would take more bytes than what they name.
 */
export type RankMapExchange = [
  layer: number,
  rank: number,
  removed: number[],
  added: number[],
];

/** An order to prepare a map that is made of one the rank was told before. */
export interface PrepareChanges {
  kind: RankOrderKind.PrepareChanges;
  version: number;
  /** Version of the map that the changes are made to. */
  base: number;
  /** A list of `RankMapExchange`, packed once for all ranks. */
  exchanges: packedDocument.PackedDocument;
  copyMilliseconds?: number;
}

/** An order as it is sent to the process beside a rank. */
export type SentOrder = RankOrder | PrepareChanges;

/** An order from the leader. */
export interface RankCommand {
  kind: messageKind.MessageKind.RankCommand;
  question: number;
  token: number;
  epoch: number;
  order: SentOrder;
}

/** How an order ended. */
export enum RankOrderEnd {
  /** The engine is in the state that the order asks for. */
  Done = "done",
  /** The engine will not carry it out; repeating changes nothing. */
  Refused = "refused",
  /** A higher token was obeyed: another process leads. */
  Superseded = "superseded",
  /** The engine gave no definite answer in time. */
  Unknown = "unknown",
  /** The map that changes were made to is not known here; send it whole. */
  BaseUnknown = "base-unknown",
}

/** Answer to an order, with the engine's state after it. */
export interface RankReply {
  kind: messageKind.MessageKind.RankReply;
  question: number;
  end: RankOrderEnd;
  detail: string;
  /** Highest token known at the rank. */
  token: number;
  status: RankStatus | undefined;
}

/** Asks a rank for the experts that it holds. */
export interface RankListsRequest {
  kind: messageKind.MessageKind.RankListsRequest;
  question: number;
}

/** Experts that a rank holds by the map in force. */
export interface RankLists {
  version: number;
  /** By layer. */
  experts: number[][];
}

/** Answer to a request for lists; `undefined` if the engine did not tell. */
export interface RankListsAnswer {
  kind: messageKind.MessageKind.RankListsAnswer;
  question: number;
  lists: RankLists | undefined;
}

/** Told to all ranks just before a leader has one of them hold a pass. */
export interface HoldNotice {
  kind: messageKind.MessageKind.HoldNotice;
  group: string;
  epoch: number;
  /** Rank that is armed after all others: the one beside the leader. */
  leader: number;
  /** Rank at which the pass is held. */
  holder: number;
  step: number;
}

/** The engines of a group, and what is asked of them. */
export interface GroupModel {
  shape: traffic.EngineShape;
  /** Longest pause between two events that is in time; 0 if none is told. */
  gapMilliseconds: number;
}

/** What a leader knows of its group and a successor needs at once. */
export interface GroupKnowledge {
  kind: messageKind.MessageKind.GroupKnowledge;
  group: string;
  epoch: number;
  /** Runner of each rank, in order. */
  runners: traffic.RunnerEntry[];
  model: GroupModel;
}
