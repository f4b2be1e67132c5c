import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as suspectLedger from "./suspect_ledger.ts";

const test = ava.default;

/** A crash during runs of these requests, each under way for 50 ms. */
function crashAt(
  endedAt: number,
  change: Partial<suspectLedger.CrashReport> = {},
  fingerprints: string[] = ["f"],
): suspectLedger.CrashReport {
  return {
    life: `life-${endedAt}`,
    runner: `i-${endedAt}`,
    service: "s",
    version: "1",
    endedAt,
    seenBy: ["entry-1"],
    disproved: false,
    suspicions: fingerprints.map((fingerprint) => ({
      fingerprint,
      startedAt: endedAt - 50,
      cleared: false,
    })),
    ...change,
  };
}

function clearedReport(
  report: suspectLedger.CrashReport,
): suspectLedger.CrashReport {
  const suspicions = report.suspicions.map((one) => ({
    ...one,
    cleared: true,
  }));
  return { ...report, suspicions };
}

function ledgerOf(
  reports: suspectLedger.CrashReport[],
): suspectLedger.SuspectLedger {
  const ledger = new suspectLedger.SuspectLedger();
  for (const report of reports) ledger.merge([report], 1_000);
  return ledger;
}

test("three crashes in turn quarantine a request", (t) => {
  const ledger = ledgerOf([crashAt(100), crashAt(200)]);
  t.deepEqual([...ledger.quarantined], []);
  t.deepEqual(ledger.merge([crashAt(300)], 1_000).quarantined, ["f"]);
  t.true(ledger.quarantined.has("f"));
});

// Several entries that see one crash must not make several crashes of it.
test("a crash counts once, however many entries see it and however often it is reported", (t) => {
  const ledger = ledgerOf([
    crashAt(100),
    crashAt(100, { seenBy: ["entry-2"], endedAt: 104 }),
    crashAt(100),
    crashAt(200),
  ]);
  t.deepEqual([...ledger.quarantined], []);
  t.is(ledger.crashesUnder("f").length, 2);
  t.deepEqual(ledger.crashesUnder("f")[0].seenBy, ["entry-1", "entry-2"]);
  t.false(ledger.merge([crashAt(200)], 1_000).hasNewFacts);
});

// A request that many callers send is also under way at crashes that it does
// not cause.
test("a complete answer clears a request, whether its report arrives before or after the crash's", (t) => {
  const crashes = [crashAt(100), crashAt(200)];
  const clearedAfter = ledgerOf([
    ...crashes,
    ...crashes.map(clearedReport),
    crashAt(300),
  ]);
  t.deepEqual([...clearedAfter.quarantined], []);
  t.is(clearedAfter.crashesUnder("f").length, 1);
  const clearedBefore = ledgerOf([
    ...crashes.map(clearedReport),
    ...crashes,
    crashAt(300),
  ]);
  t.is(clearedBefore.crashesUnder("f").length, 1);
});

test("a quarantined request is released when a crash is cleared or disproved", (t) => {
  const crashes = [crashAt(100), crashAt(200), crashAt(300)];
  const ledger = ledgerOf(crashes);
  t.deepEqual(ledger.merge([clearedReport(crashes[0])], 1_000).released, ["f"]);
  t.deepEqual([...ledger.quarantined], []);
  const disproof = crashAt(300, { disproved: true }, []);
  t.deepEqual(ledgerOf(crashes).merge([disproof], 1_000).released, ["f"]);
});

// Reports arrive in any order, some twice, relayed by other entries.
test("ledgers that receive the same reports in any order agree", (t) => {
  const reports = [100, 200, 300, 400].flatMap((at) => [
    crashAt(at, {}, ["f", `g-${at}`]),
    crashAt(at, { seenBy: ["entry-2"], endedAt: at + 3 }, ["h"]),
    clearedReport(crashAt(at, {}, [`g-${at}`])),
  ]);
  const expected = ledgerOf(reports);
  fastCheck.assert(
    fastCheck.property(
      fastCheck.shuffledSubarray(reports, { minLength: reports.length }),
      fastCheck.subarray(reports),
      (order, again) => {
        const ledger = ledgerOf([...order, ...again]);
        t.deepEqual(
          [...ledger.quarantined].sort(),
          [...expected.quarantined].sort(),
        );
        for (const name of ["f", "h", "g-100"]) {
          const withOrderedHosts = (source: suspectLedger.SuspectLedger) =>
            source.crashesUnder(name).map((crash) => ({
              ...crash,
              seenBy: [...crash.seenBy].sort(),
            }));
          t.deepEqual(withOrderedHosts(ledger), withOrderedHosts(expected));
        }
      },
    ),
    { seed: 1, numRuns: 50 },
  );
});

// The times of a crash differ between entries by the time that a message takes,
// yet all entries must quarantine the same requests.
test("a request that another entry has in quarantine is quarantined if enough crashes are known", (t) => {
  const overlapping = [crashAt(100), crashAt(101), crashAt(102)];
  const ledger = ledgerOf(overlapping);
  t.deepEqual([...ledger.quarantined], []);
  t.deepEqual(ledger.merge([], 1_000, ["f"]).quarantined, ["f"]);
  t.true(ledger.quarantined.has("f"));
  t.deepEqual(ledgerOf([crashAt(100)]).merge([], 1_000, ["f"]).quarantined, []);
});

// If all hosts fail repeatedly, every request under way becomes a suspect each
// time.
test("a flood of suspects neither pushes out a quarantined request nor exceeds the limit", (t) => {
  const ledger = ledgerOf([crashAt(100), crashAt(200), crashAt(300)]);
  for (let number = 0; number < 200; number++) {
    const names = Array.from({ length: 500 }, (_, one) => `g-${number}-${one}`);
    ledger.merge([crashAt(1_000 + number, {}, names)], 2_000);
  }
  t.true(ledger.quarantined.has("f"));
  t.is(ledger.crashesUnder("f").length, 3);
  t.true(ledger.size.suspicions <= 20_000);
});

test("a request with two crashes outlasts a flood of requests with one", (t) => {
  const ledger = ledgerOf([crashAt(100), crashAt(200)]);
  for (let number = 0; number < 60; number++) {
    const names = Array.from({ length: 500 }, (_, one) => `g-${number}-${one}`);
    ledger.merge([crashAt(1_000 + number, {}, names)], 2_000);
  }
  t.is(ledger.crashesUnder("f").length, 2);
});

test("crashes are removed after a day, except those of quarantined requests", (t) => {
  const day = 24 * 3_600_000;
  const ledger = ledgerOf([
    crashAt(100),
    crashAt(200),
    crashAt(300),
    crashAt(400, {}, ["g"]),
  ]);
  ledger.merge([crashAt(day + 1_000, {}, ["h"])], day + 1_000);
  t.is(ledger.crashesUnder("g").length, 0);
  t.true(ledger.quarantined.has("f"));
  t.is(ledger.crashesUnder("f").length, 3);
});

// Most requests that once crashed runners are never sent again. They must not
// take the place of one that crashes runners now.
test("if too many requests are in quarantine, the one whose last crash is the oldest is released", (t) => {
  const ledger = new suspectLedger.SuspectLedger();
  const crashUnder = (name: string, at: number) =>
    ledger.merge([crashAt(at, {}, [name])], at);
  for (let number = 0; number < 1_000; number++) {
    for (const nth of [1, 2, 3])
      crashUnder(`g-${number}`, 1_000 * number + 100 * nth);
  }
  t.is(ledger.quarantined.size, 1_000);
  const now = 1_000 * 1_000;
  crashUnder("f", now + 100);
  crashUnder("f", now + 200);
  const change = crashUnder("f", now + 300);
  t.deepEqual(change.quarantined, ["f"]);
  t.deepEqual(change.released, ["g-0"]);
  t.true(ledger.quarantined.has("f"));
  t.deepEqual(ledger.merge([], now, ["g-0"]).quarantined, []);
  t.is(ledger.quarantined.size, 1_000);
});
