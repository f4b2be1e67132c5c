import type * as traffic from "@geraniumkeel/traffic";

/** Durations of a request at a runner with a free slot, in milliseconds. */
export interface Durations {
  answerMilliseconds: number;
  firstEventMilliseconds: number;
}

/**
 * Durations of a usual request at a runner whose slots are all taken, by what
 * the configuration states of the engines; `undefined` if it does not state
 * enough. They are used until an entry has measured some: after a restart of
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
