import * as common from "@geraniumkeel/common";
import type * as revisionModule from "./revision.ts";
import * as table from "./table.ts";

/** Kinds of answer to a conditional write. */
export enum DefiniteKind {
  Committed = "committed",
  Conflict = "conflict",
  /** The table came back from a copy: read again what the write was based on. */
  PastEpoch = "past-epoch",
  /** Certainly no effect, now or later. */
  NotWritten = "not-written",
  /** Given up while unknown: it may have taken effect or still do so. */
  GivenUp = "given-up",
}

/** Answer to a conditional write. */
export type DefiniteOutcome =
  | { kind: DefiniteKind.Committed; revision: revisionModule.Revision }
  | { kind: DefiniteKind.Conflict; row: table.Row | undefined }
  | { kind: DefiniteKind.PastEpoch; reason: string }
  | { kind: DefiniteKind.NotWritten; reason: string }
  | { kind: DefiniteKind.GivenUp; reason: string };

/** A transaction whose first write carries a nonce that only it can carry. */
export interface NoncedTransaction {
  transaction: table.Transaction;
  /** Row that decides: its value contains the nonce once committed. */
  decidingKey: string;
  nonce: string;
}

const FIRST_PAUSE_MILLISECONDS = 20;
const LONGEST_PAUSE_MILLISECONDS = 1_000;

/**
 * Repeats a conditional write until its outcome is definite. A lost answer
 * looks like a failure although the write took effect, or will: reading back
 * once is not enough, as the delayed write may land after the read. Repeating
 * the same conditional write is: either it commits now, and the delayed one
 * meets a conflict, or it meets a conflict that carries our own nonce.
 */
export async function writeDefinitely(parameters: {
  table: table.TableService;
  write: NoncedTransaction;
  timeoutMilliseconds: number;
  random: common.Random;
  signal?: AbortSignal;
}): Promise<DefiniteOutcome> {
  const { write, random } = parameters;
  const deadline = common.now() + parameters.timeoutMilliseconds;
  const backOff = new common.BackOff({
    firstMilliseconds: FIRST_PAUSE_MILLISECONDS,
    longestMilliseconds: LONGEST_PAUSE_MILLISECONDS,
    random,
  });
  let mayHaveLanded = false;
  let reason = "";
  while (!parameters.signal?.aborted) {
    const outcome = await parameters.table.transact(write.transaction);
    switch (outcome.kind) {
      case table.OutcomeKind.Committed: {
        const revision = outcome.revisions[write.decidingKey];
        return { kind: DefiniteKind.Committed, revision };
      }
      case table.OutcomeKind.Conflict: {
        const row = outcome.rows.find((row) => row.key === write.decidingKey);
        if (row?.value.includes(write.nonce)) {
          return { kind: DefiniteKind.Committed, revision: row.revision };
        }
        return { kind: DefiniteKind.Conflict, row };
      }
      case table.OutcomeKind.PastEpoch:
        return { kind: DefiniteKind.PastEpoch, reason: outcome.reason };
      case table.OutcomeKind.Unknown:
        mayHaveLanded = true;
        reason = outcome.reason;
        break;
      case table.OutcomeKind.Unavailable:
        reason = outcome.reason;
        break;
    }
    const pause = backOff.pause();
    if (common.now() + pause > deadline) break;
    await common.sleep(pause, parameters.signal);
  }
  if (mayHaveLanded) return { kind: DefiniteKind.GivenUp, reason };
  return { kind: DefiniteKind.NotWritten, reason };
}
