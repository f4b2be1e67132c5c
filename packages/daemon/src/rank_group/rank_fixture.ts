import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";

/**
 * For tests: the capacity and speed of an engine, with the values of a group of
 * twelve ranks. `others` override them.
 */
export function createShape(
  others: Partial<traffic.EngineShape> = {},
): traffic.EngineShape {
  return {
    // Requests that one engine runs at the same time.
    slots: 8,
    stepMilliseconds: 5,
    sequenceMilliseconds: 0.5,
    promptTokensPerMillisecond: 75,
    stepsPerPass: 6,
    layers: 4,
    expertsPerLayer: 72,
    // Experts of one layer that a rank has room for, and further ones that it
    // can load beside those in use.
    expertSlots: 8,
    spareSlots: 3,
    expertShare: 0.85,
    // Time in which a rank loads one expert.
    copyMilliseconds: 98,
    usualPromptTokens: 835,
    usualAnswerTokens: 159,
    ...others,
  };
}

/**
 * For tests: the state of a rank that runs some requests on a map, while no
 * switch is in progress. `others` override parts of it.
 */
export function createStatus(
  others: Partial<wire.RankStatus> = {},
): wire.RankStatus {
  return {
    epoch: 1,
    open: true,
    active: 3,
    waiting: 0,
    step: 10,
    mapVersion: 1,
    preparedVersion: 0,
    armedVersion: 0,
    armedStep: 0,
    heldStep: -1,
    ...others,
  };
}
