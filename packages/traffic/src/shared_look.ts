import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import type * as documentSource from "./document_source.ts";
import type * as provenValue from "./proven_value.ts";

/**
 * Age up to which a completed look is given to a reader that has not seen it.
 * It covers the longest pause of a reader after a failure (`followDocument`), so
 * that two readers cause no more calls than one does.
 */
const MAX_LOOK_AGE_MILLISECONDS = 600;

type Outcome = neverthrow.Result<unknown, documentSource.SourceFailure>;

/** A look that is complete. */
interface CompletedLook {
  number: number;
  startedAt: common.Instant;
  endedAt: number;
  outcome: Outcome;
}

/**
 * Lets several documents be read from one source of rows. Each look serves every
 * reader once: a reader joins a look under way, or gets the last one if it has
 * not seen it, and otherwise begins a look.
 */
export class SharedLook {
  #count = 0;
  #underWay: Promise<CompletedLook> | undefined;
  #last: CompletedLook | undefined;

  /** `look` brings the rows up to date, waiting for a change at most that long. */
  constructor(
    readonly look: (waitMilliseconds: number) => Promise<Outcome>,
    /** Epoch of the table in which the rows were read. */
    readonly epoch: () => number,
  ) {}

  /** A document that `read` takes from the rows as they are after a look. */
  source<T extends provenValue.Versioned>(
    read: () => neverthrow.Result<T | undefined, documentSource.SourceFailure>,
  ): documentSource.DocumentSource<T> {
    let seen = 0;
    return {
      next: async (waitMilliseconds) => {
        const { number, outcome, startedAt } = await this.#after(
          seen,
          waitMilliseconds,
        );
        seen = number;
        if (outcome.isErr()) return neverthrow.err(outcome.error);
        const epoch = this.epoch();
        return read().map((value) => ({ value, startedAt, epoch }));
      },
    };
  }

  async #after(seen: number, waitMilliseconds: number): Promise<CompletedLook> {
    const last = this.#last;
    const isUnseen = last && last.number > seen;
    if (isUnseen && common.now() - last.endedAt < MAX_LOOK_AGE_MILLISECONDS)
      return last;
    // Also cleared after a look that rejects; no look would begin after it otherwise.
    this.#underWay ??= this.#begin(waitMilliseconds).finally(() => {
      this.#underWay = undefined;
    });
    return this.#underWay;
  }

  async #begin(waitMilliseconds: number): Promise<CompletedLook> {
    const startedAt = common.instant();
    const outcome = await this.look(waitMilliseconds);
    const endedAt = common.now();
    const number = ++this.#count;
    this.#last = { number, startedAt, endedAt, outcome };
    return this.#last;
  }
}
