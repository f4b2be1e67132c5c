import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as tableEpoch from "./table_epoch.ts";
import * as table from "./table.ts";
import * as transactInEpoch from "./transact_in_epoch.ts";

const test = ava.default;

function createEpoch(): {
  epoch: tableEpoch.TableEpoch;
  logger: common.RecordingLogger;
} {
  const logger = new common.RecordingLogger();
  return { epoch: new tableEpoch.TableEpoch(logger), logger };
}

function codesOf(logger: common.RecordingLogger): common.EventCode[] {
  return logger.events.map(({ code }) => code);
}

/** A transaction on a row that was written in an epoch. */
function transactionIn(epoch: number): table.Transaction {
  const condition = table.atRevision("k", { epoch, number: 7 });
  return { conditions: [condition], writes: [table.putRow("k", "v")] };
}

function committed(epoch: string): transactInEpoch.AnsweredTransaction {
  const kind = table.OutcomeKind.Committed;
  return { outcome: { kind, revisions: {} }, epoch, answered: true };
}

test("an epoch that rises is told once, and was seen to begin", (t) => {
  const { epoch, logger } = createEpoch();
  t.is(epoch.note("3", common.now()), tableEpoch.EpochVerdict.Current);
  t.false(epoch.sawBegin);
  t.is(epoch.note("4", common.now()), tableEpoch.EpochVerdict.Began);
  t.is(epoch.note("4", common.now()), tableEpoch.EpochVerdict.Current);
  t.true(epoch.sawBegin);
  t.deepEqual(codesOf(logger), [common.EventCode.TableEpochBegan]);
  t.deepEqual(logger.events[0].fields, { before: 3, epoch: 4 });
});

// Answers overtake each other: one of before the return tells of rows that are gone.
test("an answer that was asked for before the return is of the past", (t) => {
  const { epoch } = createEpoch();
  const askedAt = common.now();
  epoch.note("3", askedAt);
  epoch.note("4", common.now());
  t.is(epoch.note("3", askedAt), tableEpoch.EpochVerdict.Past);
  t.is(epoch.number, 4);
});

// A number that goes down for good must not have all answers thrown away.
test("an epoch that goes down is another epoch", async (t) => {
  const { epoch, logger } = createEpoch();
  epoch.note("4", common.now());
  await common.sleep(2);
  t.is(epoch.note("1", common.now()), tableEpoch.EpochVerdict.Began);
  t.is(epoch.number, 1);
  t.deepEqual(logger.events[0].fields, { before: 4, epoch: 1 });
});

test("a table that tells no epoch is in one epoch", (t) => {
  const { epoch, logger } = createEpoch();
  t.is(epoch.note(undefined, 0), tableEpoch.EpochVerdict.Current);
  t.is(epoch.note(undefined, 0), tableEpoch.EpochVerdict.Current);
  t.is(epoch.number, 0);
  t.deepEqual(logger.events, []);
});

for (const told of [undefined, "x", "-1", "1.5"]) {
  test(`an epoch told as ${told} after a number is told once, and changes nothing`, (t) => {
    const { epoch, logger } = createEpoch();
    epoch.note("4", common.now());
    t.is(epoch.note(told, common.now()), tableEpoch.EpochVerdict.Current);
    epoch.note(told, common.now());
    t.is(epoch.number, 4);
    t.deepEqual(codesOf(logger), [common.EventCode.TableEpochUnreadable]);
  });
}

// The revision of a condition may have been given to another write since.
test("a condition of an earlier epoch is not sent", async (t) => {
  const { epoch } = createEpoch();
  epoch.note("2", common.now());
  let sent = false;
  const outcome = await transactInEpoch.transactInEpoch({
    epoch,
    transaction: transactionIn(1),
    send: async () => {
      sent = true;
      return committed("2");
    },
  });
  t.is(outcome.kind, table.OutcomeKind.PastEpoch);
  t.false(sent);
});

// Sent in one epoch and done in the next: the row that it changed may be another one.
test("a transaction that met the return on its way is of the past", async (t) => {
  const { epoch } = createEpoch();
  epoch.note("1", common.now());
  const outcome = await transactInEpoch.transactInEpoch({
    epoch,
    transaction: transactionIn(1),
    send: async () => committed("2"),
  });
  t.is(outcome.kind, table.OutcomeKind.PastEpoch);
});

// Its answer was given before the return: what it wrote may be gone.
test("a write that was done before the return is not known to stand", async (t) => {
  const { epoch } = createEpoch();
  epoch.note("1", common.now());
  const outcome = await transactInEpoch.transactInEpoch({
    epoch,
    transaction: { conditions: [], writes: [table.putRow("k", "v")] },
    send: async () => {
      epoch.note("2", common.now());
      return committed("1");
    },
  });
  t.is(outcome.kind, table.OutcomeKind.Unknown);
});
