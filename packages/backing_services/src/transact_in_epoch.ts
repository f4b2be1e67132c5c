import * as common from "@geraniumkeel/common";
import * as tableEpoch from "./table_epoch.ts";
import * as table from "./table.ts";

/** What a table answered, with the epoch that it told. */
export interface AnsweredTransaction {
  outcome: table.TransactionOutcome;
  /** As told; `undefined` if there was no answer. */
  epoch: string | undefined;
  answered: boolean;
}

/**
 * Sends a transaction whose conditions hold for one epoch of the table only. A table
 * that came back from a copy may have given the revision of a condition to another
 * write: such a transaction is not sent, and one that met the return on its way counts
 * as of the past, whatever it did.
 */
export async function transactInEpoch(parameters: {
  epoch: tableEpoch.TableEpoch;
  transaction: table.Transaction;
  send: () => Promise<AnsweredTransaction>;
}): Promise<table.TransactionOutcome> {
  const { epoch, transaction, send } = parameters;
  const isPast = () =>
    transaction.conditions.some((condition) => isOfPast(condition, epoch));
  if (isPast()) return past("not sent");
  const askedAt = common.now();
  const answer = await send();
  if (!answer.answered) return answer.outcome;
  const verdict = epoch.note(answer.epoch, askedAt);
  if (isPast()) return past("the table came back meanwhile");
  if (verdict !== tableEpoch.EpochVerdict.Past) return answer.outcome;
  // Done before the table came back: it may be in the copy, or gone.
  const reason = "answer of an earlier epoch";
  return { kind: table.OutcomeKind.Unknown, reason };
}

function isOfPast(
  condition: table.Condition,
  epoch: tableEpoch.TableEpoch,
): boolean {
  switch (condition.kind) {
    case table.ConditionKind.Absent:
      return false;
    case table.ConditionKind.AtRevision:
      return condition.revision.epoch !== epoch.number;
  }
}

function past(reason: string): table.TransactionOutcome {
  return { kind: table.OutcomeKind.PastEpoch, reason };
}
