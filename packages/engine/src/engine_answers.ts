import * as zod from "zod";
import * as engine from "./engine.ts";

const COUNT = zod.number().int().min(0, "write 0 or more");

/** One item of a generation, as engines send it. */
export const ITEM = zod.discriminatedUnion("kind", [
  zod.object({
    kind: zod.literal(engine.EngineItemKind.Token),
    index: COUNT,
    text: zod.string(),
  }),
  zod.object({
    kind: zod.literal(engine.EngineItemKind.Finish),
    reason: zod.string(),
    promptTokens: zod.number(),
  }),
  zod.object({
    kind: zod.literal(engine.EngineItemKind.Broken),
    reason: zod.string(),
  }),
  zod.object({
    kind: zod.literal(engine.EngineItemKind.NotStarted),
    reason: zod.string(),
  }),
]);

const NUMBER = zod.number().default(0);

/** An engine's report of its load; what it does not tell is 0. */
export const LOAD = zod.object({
  sequences: NUMBER,
  waiting: NUMBER,
  cachedTokens: NUMBER,
  prefillTokens: NUMBER,
  rankMilliseconds: NUMBER,
  stepMilliseconds: NUMBER,
  step: NUMBER,
  mapVersion: NUMBER,
});

/** Cache events after a sequence number. */
export const CACHE_EVENTS = zod.array(
  zod.object({
    sequence: zod.number(),
    stored: zod.array(zod.string()),
    removed: zod.array(zod.string()),
  }),
);

/** State of a rank, which answers an order; an engine may leave out what is none: 0. */
export const RANK_STATE = zod.object({
  step: NUMBER,
  mapVersion: NUMBER,
  stagedVersion: NUMBER,
  armedVersion: NUMBER,
  armedStep: NUMBER,
  goVersion: NUMBER,
  held: zod.boolean().default(false),
  expertTokens: zod
    .array(zod.array(zod.tuple([zod.number(), zod.number()])))
    .default([]),
});
