import * as common from "@geraniumkeel/common";

/** What an answer's epoch says of the answer. */
export enum EpochVerdict {
  /** It is of the epoch that is known. */
  Current = "current",
  /** It is the first of another epoch. */
  Began = "began",
  /** It was given before the table came back from a copy: it tells of what is gone. */
  Past = "past",
}

/**
 * The epoch of a table as its answers tell it. A table that comes back from a copy some
 * seconds old has lost what was written since, and gives its revisions out again; each
 * such return begins an epoch with a higher number.
 */
export class TableEpoch {
  #number: number | undefined;
  /** When the epoch that is known was first told. */
  #toldAt = -Infinity;
  #readable = true;
  #sawBegin = false;
  /** Announces that an epoch began, whatever came before it. */
  readonly began = new common.ChangeNotice();

  constructor(readonly logger: common.Logger) {}

  /** Number of the epoch; 0 before the first answer, and for a table without any. */
  get number(): number {
    return this.#number ?? 0;
  }

  /** When the epoch was first told, by `common.now`. */
  get toldAt(): number {
    return this.#toldAt;
  }

  /**
   * Whether this process was there when the epoch began, so that what it holds may be
   * newer than what the table has.
   */
  get sawBegin(): boolean {
    return this.#sawBegin;
  }

  /** Takes what an answer tells. `askedAt`: when the call was sent. */
  note(told: string | undefined, askedAt: number): EpochVerdict {
    const number = told === undefined ? Number.NaN : Number(told);
    if (!Number.isSafeInteger(number) || number < 0) return this.#miss(told);
    this.#readable = true;
    if (number === this.#number) return EpochVerdict.Current;
    // Answers overtake each other; one that was asked for before is merely late.
    const late = number < this.number && askedAt <= this.#toldAt;
    if (late) return EpochVerdict.Past;
    return this.#begin(number);
  }

  #begin(number: number): EpochVerdict {
    const before = this.#number;
    this.#number = number;
    this.#toldAt = common.now();
    if (before === undefined) return EpochVerdict.Current;
    this.#sawBegin = true;
    const code = common.EventCode.TableEpochBegan;
    this.logger.event(code, { before, epoch: number });
    this.began.announce();
    return EpochVerdict.Began;
  }

  /** A table that tells no epoch is taken at its word: nothing says that it was lost. */
  #miss(told: string | undefined): EpochVerdict {
    const neverTold = told === undefined && this.#number === undefined;
    if (this.#readable && !neverTold) {
      const code = common.EventCode.TableEpochUnreadable;
      this.logger.event(code, { told, epoch: this.number });
    }
    this.#readable = neverTold;
    return EpochVerdict.Current;
  }
}
