import type * as traffic from "@geraniumkeel/traffic";

/** A group of ranks and the load on it, in the terms of its engines. */
export interface GroupDeployment {
  ranks: number;
  layers: number;
  expertsPerLayer: number;
  /** Experts that a rank holds of a layer at most. */
  expertSlots: number;
  /** Experts of a layer that may be new to a rank in one map. */
  spareSlots: number;
  /** Part of the work for tokens that is spread by the map, 0 to 1. */
  expertShare: number;
  /** Exponent by which popularity falls from the most liked expert to the next. */
  popularityFall: number;
  /** Requests that a rank runs at once. */
  slots: number;
  stepMilliseconds: number;
  /** Work of one step for one request that is writing. */
  sequenceMilliseconds: number;
  stepsPerPass: number;
  promptTokensPerMillisecond: number;
  /** Prompt tokens that a rank reads in one step at most. */
  chunkTokens: number;
  /** Time from arrival until reading begins, with room. */
  setUpMilliseconds: number;
  /** Time to load one expert. */
  copyMilliseconds: number;
  /** What the link of a rank's host carries. */
  linkBytesPerMillisecond: number;
  meanPromptTokens: number;
  mostPromptTokens: number;
  meanEvents: number;
  mostEvents: number;
  entries: number;
}

/** Twelve ranks that carry a whole model: experts of 2,200 MB. */
export const SIZING: GroupDeployment = {
  ranks: 12,
  layers: 4,
  expertsPerLayer: 72,
  expertSlots: 8,
  spareSlots: 3,
  expertShare: 0.85,
  popularityFall: 1.3,
  slots: 8,
  stepMilliseconds: 4.84,
  sequenceMilliseconds: 0.543,
  stepsPerPass: 6,
  promptTokensPerMillisecond: 74.8,
  chunkTokens: 512,
  setUpMilliseconds: 70,
  copyMilliseconds: 98,
  linkBytesPerMillisecond: 1_750,
  meanPromptTokens: 835,
  mostPromptTokens: 2_880,
  meanEvents: 26.5,
  mostEvents: 66,
  entries: 8,
};

/** One of two groups of eight ranks: experts of 580 MB. */
export const DISPATCH: GroupDeployment = {
  ...SIZING,
  ranks: 8,
  layers: 6,
  expertsPerLayer: 64,
  expertSlots: 11,
  spareSlots: 4,
  stepMilliseconds: 5.85,
  sequenceMilliseconds: 0.543,
  stepsPerPass: 5,
  promptTokensPerMillisecond: 61.2,
  copyMilliseconds: 74,
  meanEvents: 28,
  mostEvents: 70,
  entries: 6,
};

/** Sixty-three ranks that carry a whole model. */
export const SIZING_GROWN: GroupDeployment = {
  ...SIZING,
  ranks: 63,
  layers: 8,
  expertsPerLayer: 252,
  expertSlots: 5,
  spareSlots: 2,
  popularityFall: 0.67,
  copyMilliseconds: 14.2,
  linkBytesPerMillisecond: 700,
  sequenceMilliseconds: 0.621,
  slots: 7,
  stepsPerPass: 7,
  meanEvents: 23,
  mostEvents: 58,
  entries: 45,
};

/** The same as the product knows it. */
export function shapeOf(size: GroupDeployment): traffic.EngineShape {
  return {
    slots: size.slots,
    stepMilliseconds: size.stepMilliseconds,
    sequenceMilliseconds: size.sequenceMilliseconds,
    promptTokensPerMillisecond: size.promptTokensPerMillisecond,
    stepsPerPass: size.stepsPerPass,
    layers: size.layers,
    expertsPerLayer: size.expertsPerLayer,
    expertSlots: size.expertSlots,
    spareSlots: size.spareSlots,
    expertShare: size.expertShare,
    copyMilliseconds: size.copyMilliseconds,
    usualPromptTokens: size.meanPromptTokens,
    usualAnswerTokens: size.meanEvents * size.stepsPerPass,
  };
}
