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
 * Durations of a usual request while all slots of its runner are in use,
 * computed from the engine's figures in the configuration; `undefined` if these
 * are not stated. They are used until an entry has measured some: after a restart of
 * all entries nothing is measured, and a backlog waits.
 */
export function expectedDurations(
  engine: traffic.EngineShape | undefined,
): Durations | undefined {
  if (!engine) return undefined;
  const { usualPromptTokens, usualAnswerTokens } = engine;
  const { promptTokensPerMillisecond: readingRate } = engine;
  if (usualAnswerTokens <= 0 || readingRate <= 0) return undefined;
  const step =
    engine.stepMilliseconds + engine.sequenceMilliseconds * engine.slots;
  const firstEventMilliseconds =
    usualPromptTokens / readingRate + step * engine.stepsPerPass;
  return {
    answerMilliseconds: firstEventMilliseconds + step * usualAnswerTokens,
    firstEventMilliseconds,
  };
}
