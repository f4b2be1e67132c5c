import type * as attempt from "./attempt.ts";
import type * as load from "./load.ts";
import type * as member from "./member.ts";
import type * as mesh from "./mesh.ts";
import type * as meshLoad from "./mesh_load.ts";
import type * as messageKind from "./message_kind.ts";
import type * as order from "./order.ts";
import type * as rankGroup from "./rank_group.ts";
import type * as rateLimit from "./rate_limit.ts";
import type * as suspicion from "./suspicion.ts";

/** What kind of process is at the far end. */
export enum PeerRole {
  Entry = 1,
  Upstream = 2,
}

/** First message of each side of a link. */
export interface Hello {
  kind: messageKind.MessageKind.Hello;
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
  /** It names a request rate limit, which is used up. */
  AtRateLimit = "at-rate-limit",
  /** It wants nothing for a while. */
  Resting = "resting",
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

/** Asks an upstream process for the claims of attempts that it was sent lately. */
export interface ClaimsRequest {
  kind: messageKind.MessageKind.ClaimsRequest;
  question: number;
}

/** Claims of attempts that started lately. */
export interface ClaimsAnswer {
  kind: messageKind.MessageKind.ClaimsAnswer;
  question: number;
  claims: { claim: attempt.AttemptClaim; attempt: attempt.Attempt }[];
}

/** Any message on a link. */
export type Message =
  | Hello
  | mesh.MeshHello
  | mesh.MeshHeartbeat
  | mesh.MeshConfiguration
  | mesh.MeshRunners
  | mesh.MeshEvacuations
  | meshLoad.MeshLoad
  | rankGroup.RankHello
  | rankGroup.LeaderHeartbeat
  | rankGroup.RankHeartbeat
  | rankGroup.RankCommand
  | rankGroup.RankReply
  | rankGroup.RankListsRequest
  | rankGroup.RankListsAnswer
  | rankGroup.GroupKnowledge
  | rankGroup.HoldNotice
  | suspicion.Suspicions
  | rateLimit.RateLimitReports
  | rateLimit.RateLimitRequest
  | rateLimit.RateLimitAnswer
  | ClaimsRequest
  | ClaimsAnswer
  | {
      kind: messageKind.MessageKind.Heartbeat;
      clock: number;
      revision: number;
    }
  | {
      kind: messageKind.MessageKind.Dispatch;
      attempt: attempt.Attempt;
      account: string;
      service: string;
      repeatable: boolean;
      /** Pieces that may be sent ahead of acknowledgement. */
      window: number;
      /** Attempts that the runner may have at once; 0 for any number. */
      limit: number;
      /** The claim that names it; for requests under an idempotency key. */
      claim?: attempt.AttemptClaim;
      work: attempt.Work;
    }
  | {
      kind: messageKind.MessageKind.Resume;
      attempt: attempt.Attempt;
      offset: number;
      window: number;
    }
  | {
      kind: messageKind.MessageKind.Acknowledge;
      identifier: string;
      offset: number;
    }
  | { kind: messageKind.MessageKind.Cancel; attempt: attempt.Attempt }
  | {
      kind: messageKind.MessageKind.Settle;
      attempt: attempt.Attempt;
      question: number;
    }
  | { kind: messageKind.MessageKind.Release; identifier: string }
  | {
      kind: messageKind.MessageKind.BodyPiece;
      identifier: string;
      /** Number of the piece, from 0. */
      index: number;
      bytes: Uint8Array;
      /** `End`: nothing follows. `Broken`: the caller's body broke off. */
      ends: BodyEnd;
    }
  | {
      kind: messageKind.MessageKind.BodyWanted;
      identifier: string;
      /** All pieces before this one have arrived; this one is welcome. */
      index: number;
    }
  | {
      kind: messageKind.MessageKind.Refused;
      identifier: string;
      reason: RefusalReason;
      /** Milliseconds after which there may be room; with `AtRateLimit`, `Resting`. */
      retryAfter?: number;
      /** Requests a second that the runner takes; with `AtRateLimit`. */
      perSecond?: number;
    }
  | {
      kind: messageKind.MessageKind.Head;
      identifier: string;
      head: attempt.AnswerHead;
    }
  | {
      kind: messageKind.MessageKind.Pieces;
      identifier: string;
      offset: number;
      pieces: attempt.AnswerPiece[];
    }
  | {
      kind: messageKind.MessageKind.End;
      identifier: string;
      offset: number;
      end: attempt.AttemptEnd;
    }
  | {
      kind: messageKind.MessageKind.Settled;
      identifier: string;
      question: number;
      state: attempt.AttemptState;
    }
  | {
      kind: messageKind.MessageKind.Load;
      load: load.RunnerLoad;
      clock: number;
      /** Dispatches received on this link so far. */
      dispatches: number;
    }
  | { kind: messageKind.MessageKind.CacheEvents; changes: CacheChange[] }
  | { kind: messageKind.MessageKind.Leaving }
  | {
      kind: messageKind.MessageKind.Order;
      question: number;
      agentIncarnation: string;
      order: order.Order;
    }
  | {
      kind: messageKind.MessageKind.OrderAnswer;
      question: number;
      answer: order.OrderAnswer;
    }
  | {
      kind: messageKind.MessageKind.ConfigurationPush;
      head: ConfigurationHead;
      sections: SectionPush[];
    }
  | {
      kind: messageKind.MessageKind.ConfigurationRequest;
      /** Section revisions already held; only others are wanted. */
      held: Record<string, number>;
    }
  | {
      kind: messageKind.MessageKind.InForce;
      revision: number;
      /** Hosts on which the revision, or a newer one, is in force. */
      hosts: string[];
    }
  | { kind: messageKind.MessageKind.Members; members: member.Member[] }
  /** Asks for all members if the receiver knows other ones. */
  | { kind: messageKind.MessageKind.MembersDigest; digest: string }
  | { kind: messageKind.MessageKind.Drain }
  | { kind: messageKind.MessageKind.StateRequest; question: number }
  | {
      kind: messageKind.MessageKind.StateAnswer;
      question: number;
      text: string;
    }
  | {
      kind: messageKind.MessageKind.CreditRequest;
      account: string;
      /** Least that is of use. */
      requests: number;
      tokens: number;
      /** As much as is welcome. */
      wantedRequests: number;
      wantedTokens: number;
    }
  | {
      kind: messageKind.MessageKind.CreditGrant;
      account: string;
      requests: number;
      tokens: number;
      /** Milliseconds until asking again makes sense. */
      retryAfter: number;
    }
  | {
      kind: messageKind.MessageKind.CreditReturn;
      account: string;
      requests: number;
      tokens: number;
    };
