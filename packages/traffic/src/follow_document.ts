import * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";
import * as documentSource from "./document_source.ts";
import type * as provenValue from "./proven_value.ts";

/**
 * How long one look may wait for a change, in milliseconds. A look proves the
 * document as of its beginning, so this is also the age of the proof in between.
 */
const LOOK_MILLISECONDS = 1_000;
/**
 * Shortest time from one look to the next if it brought nothing new, in milliseconds.
 * Rows that are written all the time have a look answered at once: each would cost a
 * call, and none says more than the one before.
 */
const QUIET_MILLISECONDS = 300;
/** Pause while other processes look, in milliseconds. */
const REST_MILLISECONDS = 100;
/** Pauses after a failed look, in milliseconds. */
const FIRST_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 500;

/** What following a document needs. */
export interface FollowParameters<T extends provenValue.Versioned> {
  name: string;
  source: documentSource.DocumentSource<T>;
  held: provenValue.ProvenValue<T>;
  /** Age in milliseconds up to which others' proofs are relied on. */
  restBelowAge: () => number;
  /** Told after each look whether the source answered. */
  onReachable: (reachable: boolean) => void;
  random: common.Random;
  logger: common.Logger;
  signal: AbortSignal;
}

/** Keeps a document as new as its source, until the signal aborts. */
export async function followDocument<T extends provenValue.Versioned>(
  parameters: FollowParameters<T>,
): Promise<void> {
  const { name, source, held, logger, signal, random } = parameters;
  const backOff = new common.BackOff({
    firstMilliseconds: FIRST_PAUSE_MILLISECONDS,
    longestMilliseconds: LONGEST_PAUSE_MILLISECONDS,
    random,
  });
  let failing = false;
  while (!signal.aborted) {
    if (held.age < parameters.restBelowAge()) {
      await common.sleep(pauseUntilNextRest(), signal);
      continue;
    }
    const askedAt = common.instant();
    const reading = await source.next(LOOK_MILLISECONDS, held);
    parameters.onReachable(hasAnswered(reading));
    if (reading.isErr()) {
      if (!failing) {
        const { kind, reason } = reading.error;
        const code = common.EventCode.DocumentUnavailable;
        logger.event(code, { document: name, kind, reason, age: held.age });
      }
      failing = true;
      await common.sleep(backOff.pause(), signal);
      continue;
    }
    if (failing) {
      const code = common.EventCode.DocumentAvailable;
      logger.event(code, { document: name, version: held.version });
    }
    failing = false;
    backOff.reset();
    const { value, startedAt = askedAt } = reading.value;
    const isNew = value !== undefined && held.offer(value);
    if (isNew) {
      const code = common.EventCode.DocumentInForce;
      logger.event(code, { document: name, version: value.version });
    }
    if (value) held.prove(value.version, startedAt);
    const quiet = QUIET_MILLISECONDS - common.ageOf(askedAt);
    if (!isNew && quiet > 0) await common.sleep(quiet, signal);
  }
}

/** Whether the source answered, be it with something that is no document. */
function hasAnswered<T extends provenValue.Versioned>(
  reading: neverthrow.Result<
    documentSource.Reading<T>,
    documentSource.SourceFailure
  >,
): boolean {
  if (reading.isOk()) return true;
  return reading.error.kind === documentSource.SourceFailureKind.Unreadable;
}

/**
 * Milliseconds until a multiple of the pause, at least half a pause from now. So
 * the tasks that follow several documents wake the process at the same moments.
 */
function pauseUntilNextRest(): number {
  const left = REST_MILLISECONDS - (common.now() % REST_MILLISECONDS);
  return left < REST_MILLISECONDS / 2 ? left + REST_MILLISECONDS : left;
}
