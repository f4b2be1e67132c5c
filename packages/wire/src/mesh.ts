import type * as messageKind from "./message_kind.ts";
import type * as packedDocument from "./packed_document.ts";

/** An entry as other entries and callers reach it. */
export interface MeshMember {
  host: string;
  dataCentre: string;
  address: string;
  /** Where other entries open links. */
  linkPort: number;
  /** Where callers connect. */
  callerPort: number;
}

/** First message of each side of a link between entries. */
export interface MeshHello {
  kind: messageKind.MessageKind.MeshHello;
  member: MeshMember;
  incarnation: string;
  /** Other entries that the sender knows. */
  others: MeshMember[];
}

/** Until when a sender's version of a document is proved to be the newest. */
export interface MeshProof {
  version: number;
  /** Milliseconds since then, at the time of sending; -1 for no proof. */
  age: number;
}

/** What an entry tells the others several times a second. */
export interface MeshHeartbeat {
  kind: messageKind.MessageKind.MeshHeartbeat;
  /** Number of this beat, the same for all receivers. */
  stamp: number;
  /** Number of the receiver's beat that was received last; -1 for none. */
  echoedStamp: number;
  /** Milliseconds since that beat was received. */
  echoedAge: number;
  /** Whether callers may be sent there. */
  ready: boolean;
  /** Whether the process is about to stop. */
  leaving: boolean;
  /** Whether the store answered its latest call. */
  storeReachable: boolean;
  /** Epoch of the table service, as the sender knows it. */
  tableEpoch: number;
  configuration: MeshProof;
  runners: MeshProof;
  evacuations: MeshProof;
  /** Requests under way from the sender, by runner. */
  outstanding: [runner: string, count: number][];
}

/** A newer configuration than the receiver has. */
export interface MeshConfiguration {
  kind: messageKind.MessageKind.MeshConfiguration;
  version: number;
  /** A `TrafficConfiguration`. */
  packed: packedDocument.PackedDocument;
}

/** A newer list of runners than the receiver has. */
export interface MeshRunners {
  kind: messageKind.MessageKind.MeshRunners;
  version: number;
  /** A `RunnerList`. */
  packed: packedDocument.PackedDocument;
}

/** A newer list of evacuated data centres than the receiver has. */
export interface MeshEvacuations {
  kind: messageKind.MessageKind.MeshEvacuations;
  version: number;
  /** An `EvacuationList`. */
  packed: packedDocument.PackedDocument;
}
