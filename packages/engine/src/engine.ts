/** A generation, as the engine takes it. */
export interface GenerateCall {
  identifier: string;
  prompt: string;
  maximumTokens: number;
  urgency: number;
  options: Record<string, unknown>;
}

/** Kinds of item in an engine's answer. */
export enum EngineItemKind {
  Token = "token",
  Finish = "finish",
  /** The stream broke; the engine may still hold the sequence. */
  Broken = "broken",
  /** The engine certainly never received the call. */
  NotStarted = "not-started",
}

/** One item of an engine's answer; tokens are numbered from 0. */
export type EngineItem =
  | { kind: EngineItemKind.Token; index: number; text: string }
  | { kind: EngineItemKind.Finish; reason: string; promptTokens: number }
  | { kind: EngineItemKind.Broken; reason: string }
  | { kind: EngineItemKind.NotStarted; reason: string };

/** An engine's own report of its load; it lags. */
export interface EngineLoad {
  sequences: number;
  waiting: number;
  cachedTokens: number;
  prefillTokens: number;
  rankMilliseconds: number;
  stepMilliseconds: number;
  step: number;
  mapVersion: number;
}

/** Prefix blocks stored and removed; published late and with gaps. */
export interface EngineCacheEvent {
  sequence: number;
  stored: string[];
  removed: string[];
}

/** Why an engine did not carry out an order. */
export interface EngineRefusal {
  kind: "engine-refusal";
  reason: string;
}

/** Characters per prefix block; prefixes are matched in whole blocks. */
export const PREFIX_BLOCK_CHARACTERS = 64;
