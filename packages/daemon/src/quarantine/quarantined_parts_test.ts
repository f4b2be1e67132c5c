import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as fastCheck from "fast-check";
import type * as quarantine from "./quarantine.ts";
import * as quarantineFixture from "./quarantine_fixture.ts";
import * as runnerCrash from "./runner_crash.ts";
import * as runnerCrashFixture from "./runner_crash_fixture.ts";
import * as suspectLedger from "./suspect_ledger.ts";
import type * as watchedRequests from "./watched_requests.ts";

const test = ava.default;

const START = common.now() - 20_000;

interface RunSetup {
  parts: string[];
  progress?: runnerCrash.RunProgress;
  /** Sets the request apart from others. */
  request?: string;
}

/** A crash so many milliseconds after the start, during these runs. */
function crashAt(
  moment: number,
  runs: RunSetup[],
  change: Partial<runnerCrash.RunnerCrash> = {},
): runnerCrash.RunnerCrash {
  const endedAt = START + moment;
  return {
    life: `life ${moment}`,
    runner: `i-${moment}`,
    service: "s",
    version: "1",
    endedAt,
    evidence: runnerCrash.CrashEvidence.Refused,
    runs: runs.map(({ parts, progress, request }, index) =>
      runnerCrashFixture.interruptedRun({
        fingerprint: request ?? `${moment}-${index}-fingerprint`,
        startedAt: endedAt - 50,
        progress: progress ?? runnerCrash.RunProgress.Begun,
        promptParts: parts,
      }),
    ),
    ...change,
  };
}

function requestWith(
  parts: string[],
  change: Partial<watchedRequests.WatchedRequest> = {},
): watchedRequests.WatchedRequest {
  return {
    service: "s",
    fingerprint: `of ${parts.join()}`,
    promptParts: parts,
    stop: () => {},
    ...change,
  };
}

/** An entry that has seen ordinary requests, by which parts are rare or common. */
function createEntry(
  change: Partial<quarantine.QuarantineParameters> = {},
): quarantine.Quarantine {
  const entry = quarantineFixture.createQuarantine(change);
  for (let number = 0; number < 60; number++)
    entry.watch(requestWith([`ordinary-${number}`, "common"]))();
  return entry;
}

function heldParts(entry: quarantine.Quarantine): (string | undefined)[] {
  return entry.cases().map(({ part }) => part);
}

// Guards against evidence that is lost as each entry sees other requests.
test("crashes that two entries saw prove a part at both", (t) => {
  const entries: quarantine.Quarantine[] = [];
  for (const host of ["a", "b"]) {
    entries.push(
      createEntry({
        host,
        send: (message) =>
          entries
            .filter((one) => one.parameters.host !== host)
            .forEach((one) => one.receive(message, host)),
      }),
    );
  }
  entries[0].recordCrash(crashAt(100, [{ parts: ["x", "p"] }]));
  entries[1].recordCrash(crashAt(300, [{ parts: ["p", "y"] }]));
  for (const entry of entries) t.deepEqual(heldParts(entry), ["p"]);
});

test("a request with a part in quarantine is refused, and others are not", (t) => {
  const entry = createEntry();
  entry.recordCrash(crashAt(100, [{ parts: ["x", "p"] }]));
  entry.recordCrash(crashAt(300, [{ parts: ["y", "p"] }]));
  const crashing = requestWith(["z", "p"]);
  t.true(entry.remainingMilliseconds(crashing) > 0);
  t.is(entry.quarantinedKeyOf(crashing), "part:s:p");
  t.is(entry.remainingMilliseconds(requestWith(["x", "y"])), 0);
  // Runners of another service may stand the part.
  const other = requestWith(["p"], { service: "other" });
  t.is(entry.remainingMilliseconds(other), 0);
});

// Guards against sound parts held for runs that were there by chance: behind the
// culprit in a queue, or being written for a while.
test("parts of runs that wait beside one that had begun, or are written, are not suspect", (t) => {
  const entry = createEntry();
  const { Waiting, Writing } = runnerCrash.RunProgress;
  for (const moment of [100, 300, 500, 700]) {
    entry.recordCrash(
      crashAt(moment, [
        { parts: ["p"] },
        { parts: ["waiting"], progress: Waiting },
        { parts: ["writing"], progress: Writing },
      ]),
    );
  }
  t.deepEqual(heldParts(entry), ["p"]);
});

test("parts of waiting runs are suspect where no answer had begun", (t) => {
  const entry = createEntry();
  const { Waiting } = runnerCrash.RunProgress;
  for (const moment of [100, 300])
    entry.recordCrash(crashAt(moment, [{ parts: ["p"], progress: Waiting }]));
  t.deepEqual(heldParts(entry), []);
  entry.recordCrash(crashAt(500, [{ parts: ["p"], progress: Waiting }]));
  t.deepEqual(heldParts(entry), ["p"]);
});

// Guards against trust in what a part was before it began to crash runners.
test("an answer clears a part of earlier crashes only, and of its version only", (t) => {
  const entry = createEntry();
  const request = requestWith(["p"]);
  entry.recordCrash(crashAt(100, [{ parts: ["x", "p"] }]));
  entry.wrote(request, "1", START + 50);
  entry.wrote(request, "2", START + 200);
  entry.recordCrash(crashAt(300, [{ parts: ["y", "p"] }]));
  t.deepEqual(heldParts(entry), ["p"]);
  entry.wrote(request, "1", START + 200);
  t.deepEqual(heldParts(entry), []);
});

// Guards against one caller that has a part refused which others use: their answers
// speak for it.
test("a part that others use without harm is not held for a caller that names it", (t) => {
  const entry = createEntry();
  for (const moment of [100, 300, 500, 700, 900]) {
    entry.recordCrash(crashAt(moment, [{ parts: ["shared"] }]));
    entry.wrote(requestWith(["shared"]), "1", START + moment + 100);
  }
  t.deepEqual(heldParts(entry), []);
});

// Guards against runners reached past the proof by what was under way.
test("requests with a part are stopped as it is quarantined", (t) => {
  const entry = createEntry();
  const stopped: string[] = [];
  for (const parts of [["p", "x"], ["y"], ["p"]])
    entry.watch(requestWith(parts, { stop: () => stopped.push(parts.join()) }));
  entry.recordCrash(crashAt(100, [{ parts: ["p"] }]));
  entry.recordCrash(crashAt(300, [{ parts: ["p"] }]));
  t.deepEqual(stopped, ["p,x", "p"]);
});

// Guards against more sends than one for a trial, from whatever request with the part.
test("one request at a time tries a part, and its answer frees the part", (t) => {
  let versions = new Set(["1"]);
  const entry = createEntry({ versionsOf: () => versions });
  entry.recordCrash(crashAt(100, [{ parts: ["p"] }]));
  entry.recordCrash(crashAt(300, [{ parts: ["p"] }]));
  versions = new Set(["2"]);
  const trial = requestWith(["p", "x"]);
  entry.watch(trial);
  t.is(entry.admit(trial), 0);
  t.true(entry.admit(trial) > 0);
  t.true(entry.admit(requestWith(["p", "y"])) > 0);
  entry.wrote(trial, "2", common.now());
  t.deepEqual(heldParts(entry), []);
});

// Guards against a flood of new parts that pushes out one which is proved.
test("a flood of parts neither exceeds the limits nor frees a part", (t) => {
  const entry = createEntry();
  entry.recordCrash(crashAt(100, [{ parts: ["p"] }]));
  entry.recordCrash(crashAt(300, [{ parts: ["p"] }]));
  for (let crash = 0; crash < 100; crash++) {
    const runs = Array.from({ length: 10 }, (_, run) => ({
      parts: Array.from(
        { length: 100 },
        (__, part) => `${crash}-${run}-${part}`,
      ),
    }));
    entry.recordCrash(crashAt(1_000 + crash, runs));
  }
  t.true(heldParts(entry).includes("p"));
  const { suspicions } = entry.describe() as { suspicions: number };
  t.true(suspicions <= 20_000);
});

// Guards against entries that decide differently as reports reach them in other orders.
test("reports of parts may be merged in any order and again", (t) => {
  const moments = [100, 300, 500];
  const reports = moments.flatMap((endedAt) =>
    ["entry-1", "entry-2"].map((host): suspectLedger.CrashReport => ({
      life: `life ${endedAt}`,
      runner: `i-${endedAt}`,
      service: "s",
      version: "1",
      endedAt,
      seenBy: [host],
      disproved: false,
      suspicions: ["part:s:p", `part:s:${host}`].map((fingerprint) => ({
        fingerprint,
        startedAt: endedAt - 50,
        cleared: fingerprint === "part:s:entry-2" && endedAt < 500,
        part: {
          requests: [`${host} ${endedAt}`],
          begun: host === "entry-1" ? [`${host} ${endedAt}`] : [],
          frequency: { count: 1, of: host === "entry-1" ? 64 : 60 },
        },
      })),
    })),
  );
  const ledgerOf = (merged: suspectLedger.CrashReport[]) => {
    const ledger = new suspectLedger.SuspectLedger();
    for (const report of merged) ledger.merge([structuredClone(report)], 1_000);
    return [...ledger.quarantined].sort();
  };
  const expected = ledgerOf(reports);
  t.true(expected.includes("part:s:p"));
  fastCheck.assert(
    fastCheck.property(
      fastCheck.shuffledSubarray(reports, { minLength: reports.length }),
      fastCheck.subarray(reports),
      (order, again) => t.deepEqual(ledgerOf([...order, ...again]), expected),
    ),
    { seed: 1, numRuns: 50 },
  );
});
