import * as ava from "ava";
import * as neverthrow from "neverthrow";
import * as documentSource from "./document_source.ts";
import * as sharedLook from "./shared_look.ts";

const test = ava.default;

const UNREADABLE = {
  kind: documentSource.SourceFailureKind.Unreadable,
  reason: "not JSON",
};

// Guards against twice the calls to the store for two documents, also while the
// store refuses and both readers pause for times of their own.
test("each look serves every reader once", async (t) => {
  let looks = 0;
  const shared = new sharedLook.SharedLook(
    async () => {
      looks++;
      return neverthrow.ok(undefined);
    },
    () => 1,
  );
  const sources = [1, 2].map(() =>
    shared.source(() => neverthrow.ok({ version: looks })),
  );
  await Promise.all(sources.map((source) => source.next(0)));
  t.is(looks, 1);
  await sources[0].next(0);
  t.is(looks, 2);
  const second = await sources[1].next(0);
  t.is(looks, 2);
  t.is(second._unsafeUnwrap().value?.version, 2);
});

// Guards against a proof that is too fresh: the reader came when the look was
// under way, and the answer may have been given before.
test("a look is dated by its beginning", async (t) => {
  let end: () => void = () => {};
  const shared = new sharedLook.SharedLook(
    () =>
      new Promise((resolve) => (end = () => resolve(neverthrow.ok(undefined)))),
    () => 1,
  );
  const [first, second] = [1, 2].map(() =>
    shared.source(() => neverthrow.ok({ version: 1 })),
  );
  const asked = first.next(0);
  const joined = second.next(0);
  end();
  const startedAt = (await asked)._unsafeUnwrap().startedAt;
  t.truthy(startedAt);
  t.is((await joined)._unsafeUnwrap().startedAt, startedAt);
});

// Guards against a source that stays broken: a look rejects once, and every later
// reader is given that look.
test("a look that rejects is followed by a new one", async (t) => {
  let looks = 0;
  const shared = new sharedLook.SharedLook(
    async () => {
      looks++;
      if (looks === 1) throw new Error("broken");
      return neverthrow.ok(undefined);
    },
    () => 1,
  );
  const source = shared.source(() => neverthrow.ok({ version: looks }));
  await t.throwsAsync(source.next(0), { message: "broken" });
  const second = await source.next(0);
  t.is(second._unsafeUnwrap().value?.version, 2);
});

test("one unreadable document does not hide the other", async (t) => {
  const shared = new sharedLook.SharedLook(
    async () => neverthrow.ok(undefined),
    () => 1,
  );
  const broken = shared.source(() => neverthrow.err(UNREADABLE));
  const sound = shared.source(() => neverthrow.ok({ version: 3 }));
  const [left, right] = await Promise.all([broken.next(0), sound.next(0)]);
  t.true(left.isErr());
  t.is(right._unsafeUnwrap().value?.version, 3);
});

// Guards against a reading that is recorded in a later epoch of the table than the
// one in which its rows were read: that epoch would be confirmed by it.
test("a reading tells the epoch in which the rows were read", async (t) => {
  const table = { epoch: 1 };
  let rowsEpoch = 0;
  const shared = new sharedLook.SharedLook(
    async () => {
      rowsEpoch = table.epoch;
      return neverthrow.ok(undefined);
    },
    () => rowsEpoch,
  );
  const [first, second] = [1, 2].map(() =>
    shared.source(() => neverthrow.ok({ version: 1 })),
  );
  t.is((await first.next(0))._unsafeUnwrap().epoch, 1);
  table.epoch = 2;
  t.is((await second.next(0))._unsafeUnwrap().epoch, 1);
  t.is((await second.next(0))._unsafeUnwrap().epoch, 2);
});
