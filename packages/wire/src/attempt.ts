/**
 * One try at running a request on one runner. The incarnation binds it to one
 * life of the upstream process; `issuedAt` is that process's own clock as last
 * heard by the entry, so that no two clocks are ever compared.
 */
export interface Attempt {
  identifier: string;
  agentIncarnation: string;
  issuedAt: number;
}

/** Key under which an attempt is the only one, and what the caller asked for. */
export interface AttemptClaim {
  key: string;
  /** Digest of the request. */
  digest: string;
}

/** What an upstream process knows of an attempt it is asked about. */
export enum AttemptState {
  /** It never started, and now never will. */
  NeverStarted = 1,
  Running = 2,
  Finished = 3,
  /** Too old to tell: it may have run. */
  Forgotten = 4,
}

/** What the engine is asked to do. */
export enum WorkKind {
  Generate = 1,
  Call = 2,
}

/** A generation by a model engine. `prompt` is the rendered conversation. */
export interface GenerateWork {
  kind: WorkKind.Generate;
  prompt: string;
  maximumTokens: number;
  /** Urgency by RFC 9218: 0 is most urgent, 7 least. */
  urgency: number;
  /** Sampling options of the caller, passed on to the engine as they are. */
  options: Record<string, unknown>;
}

/** A call of a plain service. */
export interface CallWork {
  kind: WorkKind.Call;
  method: string;
  path: string;
  headers: [string, string][];
  /** The body, or its beginning. */
  body: Uint8Array;
  /** Whether the rest of the body follows in pieces. */
  bodyFollows: boolean;
}

/** The work of one request. */
export type Work = GenerateWork | CallWork;

/** How an attempt ended. */
export enum EndKind {
  Complete = 1,
  /** Broke off after it may have had effects. */
  Broken = 2,
  /** The engine certainly never received it. */
  NotStarted = 3,
  Cancelled = 4,
}

/** Why a generation ended. */
export enum FinishReason {
  Stop = "stop",
  Length = "length",
}

/** The end of an attempt's answer. */
export type AttemptEnd =
  | {
      kind: EndKind.Complete;
      finishReason: FinishReason;
      promptTokens: number;
    }
  | {
      kind: EndKind.Broken;
      reason: string;
      /** Life of the engine or service that ended with it; empty if none did. */
      endedLife: string;
    }
  | { kind: EndKind.NotStarted; reason: string }
  | { kind: EndKind.Cancelled };

/** Status line and headers of a plain service's answer. */
export interface AnswerHead {
  status: number;
  headers: [string, string][];
}

/** One piece of an answer: a token's text, or bytes of a body. */
export type AnswerPiece = string | Uint8Array;
