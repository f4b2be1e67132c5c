import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as provenValue from "./proven_value.ts";
import * as provisionalVersion from "./provisional_version.ts";

const test = ava.default;

function momentsAgo(milliseconds: number): common.Instant {
  const now = common.instant();
  return {
    monotonic: now.monotonic - milliseconds,
    wall: now.wall - milliseconds,
  };
}

test("a version never goes down", (t) => {
  const held = new provenValue.ProvenValue<provenValue.Versioned>();
  t.true(held.offer({ version: 7 }));
  t.false(held.offer({ version: 6 }));
  t.is(held.version, 7);
});

test("without proof a document may be any age", (t) => {
  const held = new provenValue.ProvenValue<provenValue.Versioned>();
  held.offer({ version: 7 });
  t.is(held.age, Infinity);
});

// An entry would go on serving keys that were taken away. It hears that version 8
// is the newest while it still holds 7: that proves nothing of 7.
test("proof of a newer version does not make the held one fresh", (t) => {
  const held = new provenValue.ProvenValue<provenValue.Versioned>();
  held.offer({ version: 7 });
  held.prove(8, momentsAgo(0));
  t.is(held.age, Infinity);
});

test("an older proof does not replace a newer one", (t) => {
  const held = new provenValue.ProvenValue<provenValue.Versioned>();
  held.offer({ version: 7 });
  held.prove(7, momentsAgo(100));
  held.prove(7, momentsAgo(5_000));
  t.true(held.age < 5_000);
});

// A suspended machine's monotonic clock stands still: by it alone, what was proved
// before the machine slept would seem fresh when it wakes.
test("age follows whichever clock says more", (t) => {
  const now = common.instant();
  const slept = { monotonic: now.monotonic - 10, wall: now.wall - 6_000 };
  const setBack = { monotonic: now.monotonic - 6_000, wall: now.wall + 2_000 };
  t.is(common.ageOf(slept, now), 6_000);
  t.is(common.ageOf(setBack, now), 6_000);
});

// A process that starts while rows are missing would replace the list of all others by
// its own, and prove the one by the other.
test("a provisional version is below all others and proves none of them", (t) => {
  const held = new provenValue.ProvenValue<provenValue.Versioned>();
  const version = provisionalVersion.provisionalVersion(2 ** 50);
  t.true(held.offer({ version }));
  held.prove(version, momentsAgo(0));
  t.true(held.age < Infinity);
  t.true(held.offer({ version: 1 }));
  const other = new provenValue.ProvenValue<provenValue.Versioned>();
  other.offer({ version: 1 });
  other.prove(version, momentsAgo(0));
  t.is(other.age, Infinity);
  t.false(other.offer({ version }));
});

test("provisional versions keep their order", (t) => {
  const earlier = provisionalVersion.provisionalVersion(2 ** 50);
  const later = provisionalVersion.provisionalVersion(2 ** 50 + 1);
  t.true(later > earlier);
});

// An entry that rests would take the reads of others for none, as the list that they
// prove has yet to arrive, and the time for an outage of the store.
test("a proof of any version tells that the source was read", (t) => {
  const held = new provenValue.ProvenValue<provenValue.Versioned>();
  held.offer({ version: 7 });
  held.prove(8, momentsAgo(0));
  t.not(held.reads.span, undefined);
});
