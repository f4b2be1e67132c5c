/**
 * Load of one runner. The counts of attempts, sequences and tokens are the
 * upstream process's own and exact; waiting requests, times, step and map are
 * the engine's report, which lags.
 */
export interface RunnerLoad {
  started: number;
  finished: number;
  /** Attempts that run now. */
  sequences: number;
  /** Requests waiting in the engine. */
  waiting: number;
  /** Prompt and answer tokens of these attempts, estimated from text. */
  cachedTokens: number;
  /** Prompt tokens of attempts without a first token. */
  prefillTokens: number;
  /** This rank's own part of the last steps, in milliseconds. */
  rankMilliseconds: number;
  /** The whole group's step time, in milliseconds. */
  stepMilliseconds: number;
  /** Steps taken since the engine started. */
  step: number;
  /** Version of the expert map in use; 0 when the engine has none. */
  mapVersion: number;
}

/** A runner that has done nothing yet. */
export function idleLoad(): RunnerLoad {
  return {
    started: 0,
    finished: 0,
    sequences: 0,
    waiting: 0,
    cachedTokens: 0,
    prefillTokens: 0,
    rankMilliseconds: 0,
    stepMilliseconds: 0,
    step: 0,
    mapVersion: 0,
  };
}
