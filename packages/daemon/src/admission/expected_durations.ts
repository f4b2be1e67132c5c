import type * as traffic from "@geraniumkeel/traffic";

/**
 * Expected durations of a request from the time at which its runner begins to
 * process it, in milliseconds.
 */
export interface Durations {
  answerMilliseconds: number;
  firstEventMilliseconds: number;
}

/**
 * Part of the slots that are assumed to be in use. Durations that are too long
 * keep requests from runners that are idle.
 */
const USUAL_FULLNESS = 0.5;

/**
 * Durations of a usual request while half of the slots of its runner are in use,
 * computed from the engine's figures in the configuration; `undefined` if these
 * are not stated. They are used until an entry has measured some: after a
 * restart of all entries nothing is measured, and a backlog waits.
 */
export function expectedDurations(
  engine: traffic.EngineShape | undefined,
): Durations | undefined {
  if (!engine) return undefined;
  const { usualPromptTokens, usualAnswerTokens } = engine;
  const { promptTokensPerMillisecond: readingRate } = engine;
  if (usualAnswerTokens <= 0 || readingRate <= 0) return undefined;
  const usualSequences = engine.slots * USUAL_FULLNESS;
  const step =
    engine.stepMilliseconds + engine.sequenceMilliseconds * usualSequences;
  const firstEventMilliseconds =
    usualPromptTokens / readingRate + step * engine.stepsPerPass;
  return {
    answerMilliseconds: firstEventMilliseconds + step * usualAnswerTokens,
    firstEventMilliseconds,
  };
}
