import * as ava from "ava";
import type * as common from "@geraniumkeel/common";
import * as readContinuity from "./read_continuity.ts";

const test = ava.default;

function momentAt(milliseconds: number): common.Instant {
  return { monotonic: milliseconds, wall: milliseconds };
}

/** Reads at the given moments, each learned of at once. */
function readsAt(
  moments: number[],
  heardAllSince: (moment: common.Instant) => boolean = () => true,
): readContinuity.ReadContinuity {
  const reads = new readContinuity.ReadContinuity(heardAllSince);
  for (const moment of moments) reads.note(momentAt(moment), momentAt(moment));
  return reads;
}

// An entry that was turned away alone takes its next look for the first after an
// outage, and brings runners back that left meanwhile.
test("while others read the store there is no outage", (t) => {
  const reads = readsAt([0, 1_000, 2_100, 3_300, 4_700]);
  t.deepEqual(reads.span, { since: momentAt(0), afterOutage: false });
});

// Runners whose rows lapsed in an outage would be struck off by an entry that did not
// look itself meanwhile.
test("a gap in which all others were heard is an outage", (t) => {
  const heardSince: common.Instant[] = [];
  const reads = readsAt([0, 1_000, 5_000, 5_500], (moment) => {
    heardSince.push(moment);
    return true;
  });
  t.deepEqual(reads.span, { since: momentAt(5_000), afterOutage: true });
  t.deepEqual(heardSince, [momentAt(1_000)]);
});

// An entry that wakes after a freeze knows of no reads in between; others read the
// store, and saw runners leave.
test("a gap in which others were not heard is no outage for certain", (t) => {
  const reads = readsAt([0, 5_000], () => false);
  t.deepEqual(reads.span, { since: momentAt(5_000), afterOutage: false });
});

// A process that starts after an outage does not know which rows lapsed in it.
test("nothing is known of the time before the first read", (t) => {
  t.is(readsAt([]).span, undefined);
  const { span } = readsAt([700]);
  t.deepEqual(span, { since: momentAt(700), afterOutage: false });
});

// A proof that was on its way while a link was cut would open a span anew.
test("a read that is heard of late begins no span", (t) => {
  const reads = readsAt([0, 1_000, 5_000, 900, 4_000, 6_000]);
  t.deepEqual(reads.span?.since, momentAt(5_000));
});
