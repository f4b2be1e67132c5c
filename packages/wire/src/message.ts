import type * as attempt from "./attempt.ts";
import type * as load from "./load.ts";
import type * as member from "./member.ts";
import type * as mesh from "./mesh.ts";
import type * as order from "./order.ts";
import type * as rankGroup from "./rank_group.ts";
import type * as suspicion from "./suspicion.ts";

/** Kinds of message on links between the system's own processes. */
export enum MessageKind {
  Hello = 1,
  Heartbeat = 2,
  Dispatch = 10,
  Resume = 11,
  Acknowledge = 12,
  Cancel = 13,
  Settle = 14,
  Release = 15,
  BodyPiece = 16,
  BodyWanted = 17,
  Refused = 20,
  Head = 21,
  Pieces = 22,
  End = 23,
  Settled = 24,
  Load = 25,
  CacheEvents = 26,
  Leaving = 27,
  Order = 30,
  OrderAnswer = 31,
  ConfigurationPush = 40,
  ConfigurationRequest = 41,
  InForce = 42,
  Members = 50,
  MembersDigest = 54,
  Drain = 51,
  StateRequest = 52,
  StateAnswer = 53,
  CreditRequest = 60,
  CreditGrant = 61,
  CreditReturn = 62,
  MeshHello = 70,
  MeshBeat = 71,
  MeshConfiguration = 72,
  MeshRunners = 73,
  RankHello = 80,
  LeaderBeat = 81,
  RankBeat = 82,
  RankCommand = 83,
  RankReply = 84,
  RankListsRequest = 85,
  RankListsAnswer = 86,
  GroupKnowledge = 87,
  HoldNotice = 88,
  Suspicions = 90,
}

/** What kind of process is at the far end. */
export enum PeerRole {
  Entry = 1,
  Upstream = 2,
}

/** First message of each side of a link. */
export interface Hello {
  kind: MessageKind.Hello;
  role: PeerRole;
  host: string;
  place: string;
  incarnation: string;
  /** Number of this link among those of the dialling incarnation. */
  linkNumber: number;
  revision: number;
  /** The sender's monotonic clock. */
  clock: number;
  service: string;
  group: string;
  rank: number;
  /** Ranks of the group; 0 when there is none. */
  groupSize: number;
  leaving: boolean;
}

/** Whether a request body goes on after a piece. */
export enum BodyEnd {
  None = 0,
  End = 1,
  Broken = 2,
}

/** Why an upstream process refused an attempt before it started. */
export enum RefusalReason {
  Leaving = "leaving",
  OldIncarnation = "old-incarnation",
  TooOld = "too-old",
  Tombstoned = "tombstoned",
  /** As many attempts as it may have are under way. */
  Full = "full",
}

/** Prefix blocks that an engine now holds or no longer holds. */
export interface CacheChange {
  sequence: number;
  stored: string[];
  removed: string[];
  /** Events were lost before this one: what was known is void. */
  gap: boolean;
}

/** One section of the configuration document at a revision. */
export interface SectionPush {
  name: string;
  revision: number;
  text: string;
}

/** Head of the configuration document, as committed. */
export interface ConfigurationHead {
  revision: number;
  nonce: string;
  presetInForce: string;
  /** Revision at which each section was last changed. */
  sections: Record<string, number>;
}

/** Any message on a link. */
export type Message =
  | Hello
  | mesh.MeshHello
  | mesh.MeshBeat
  | mesh.MeshConfiguration
  | mesh.MeshRunners
  | rankGroup.RankHello
  | rankGroup.LeaderBeat
  | rankGroup.RankBeat
  | rankGroup.RankCommand
  | rankGroup.RankReply
  | rankGroup.RankListsRequest
  | rankGroup.RankListsAnswer
  | rankGroup.GroupKnowledge
  | rankGroup.HoldNotice
  | suspicion.Suspicions
  | {
      kind: MessageKind.Heartbeat;
      clock: number;
      revision: number;
    }
  | {
      kind: MessageKind.Dispatch;
      attempt: attempt.Attempt;
      account: string;
      service: string;
      repeatable: boolean;
      /** Pieces that may be sent ahead of acknowledgement. */
      window: number;
      /** Attempts that the runner may have at once; 0 for any number. */
      limit: number;
      work: attempt.Work;
    }
  | {
      kind: MessageKind.Resume;
      attempt: attempt.Attempt;
      offset: number;
      window: number;
    }
  | { kind: MessageKind.Acknowledge; identifier: string; offset: number }
  | { kind: MessageKind.Cancel; attempt: attempt.Attempt }
  | {
      kind: MessageKind.Settle;
      attempt: attempt.Attempt;
      question: number;
    }
  | { kind: MessageKind.Release; identifier: string }
  | {
      kind: MessageKind.BodyPiece;
      identifier: string;
      /** Number of the piece, from 0. */
      index: number;
      bytes: Uint8Array;
      /** `End`: nothing follows. `Broken`: the caller's body broke off. */
      ends: BodyEnd;
    }
  | {
      kind: MessageKind.BodyWanted;
      identifier: string;
      /** All pieces before this one have arrived; this one is welcome. */
      index: number;
    }
  | {
      kind: MessageKind.Refused;
      identifier: string;
      reason: RefusalReason;
    }
  | { kind: MessageKind.Head; identifier: string; head: attempt.AnswerHead }
  | {
      kind: MessageKind.Pieces;
      identifier: string;
      offset: number;
      pieces: attempt.AnswerPiece[];
    }
  | {
      kind: MessageKind.End;
      identifier: string;
      offset: number;
      end: attempt.AttemptEnd;
    }
  | {
      kind: MessageKind.Settled;
      identifier: string;
      question: number;
      state: attempt.AttemptState;
    }
  | {
      kind: MessageKind.Load;
      load: load.RunnerLoad;
      clock: number;
      /** Dispatches received on this link so far. */
      dispatches: number;
    }
  | { kind: MessageKind.CacheEvents; changes: CacheChange[] }
  | { kind: MessageKind.Leaving }
  | {
      kind: MessageKind.Order;
      question: number;
      agentIncarnation: string;
      order: order.Order;
    }
  | {
      kind: MessageKind.OrderAnswer;
      question: number;
      answer: order.OrderAnswer;
    }
  | {
      kind: MessageKind.ConfigurationPush;
      head: ConfigurationHead;
      sections: SectionPush[];
    }
  | {
      kind: MessageKind.ConfigurationRequest;
      /** Section revisions already held; only others are wanted. */
      held: Record<string, number>;
    }
  | {
      kind: MessageKind.InForce;
      revision: number;
      /** Hosts on which the revision, or a newer one, is in force. */
      hosts: string[];
    }
  | { kind: MessageKind.Members; members: member.Member[] }
  /** Asks for all members if the receiver knows other ones. */
  | { kind: MessageKind.MembersDigest; digest: string }
  | { kind: MessageKind.Drain }
  | { kind: MessageKind.StateRequest; question: number }
  | { kind: MessageKind.StateAnswer; question: number; text: string }
  | {
      kind: MessageKind.CreditRequest;
      account: string;
      /** Least that is of use. */
      requests: number;
      tokens: number;
      /** As much as is welcome. */
      wantedRequests: number;
      wantedTokens: number;
    }
  | {
      kind: MessageKind.CreditGrant;
      account: string;
      requests: number;
      tokens: number;
      /** Milliseconds until asking again makes sense. */
      retryAfter: number;
    }
  | {
      kind: MessageKind.CreditReturn;
      account: string;
      requests: number;
      tokens: number;
    };
