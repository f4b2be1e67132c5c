import * as ava from "ava";
import * as partProof from "./part_proof.ts";

const test = ava.default;

const NONE: ReadonlySet<string> = new Set();

/** A crash at a time, during a run that began just before. */
function crashAt(
  endedAt: number,
  requests: string[],
  change: Partial<partProof.PartCrash> = {},
): partProof.PartCrash {
  return {
    life: `life-${endedAt}`,
    startedAt: endedAt - 50,
    endedAt,
    requests,
    isNarrow: true,
    ...change,
  };
}

function wide(endedAt: number, requests: string[]): partProof.PartCrash {
  return crashAt(endedAt, requests, { isNarrow: false });
}

function part(
  key: string,
  crashes: partProof.PartCrash[],
  frequency = 0.02,
): partProof.SuspectedPart {
  return { key, frequency, crashes };
}

function proven(
  parts: partProof.SuspectedPart[],
  quarantined = NONE,
): string[] {
  return [...partProof.provenParts(parts, quarantined)];
}

test("two narrow crashes in turn under different requests prove a part", (t) => {
  const crashes = [crashAt(100, ["f"]), crashAt(200, ["g"])];
  t.deepEqual(proven([part("p", crashes.slice(0, 1))]), []);
  t.deepEqual(proven([part("p", crashes)]), ["p"]);
});

test("crashes that are not narrow prove a part when there are three", (t) => {
  const crashes = [wide(100, ["f"]), wide(200, ["g"]), wide(300, ["h"])];
  t.deepEqual(proven([part("p", crashes.slice(0, 2))]), []);
  t.deepEqual(proven([part("p", crashes)]), ["p"]);
});

// Guards against a quarantine of sound parts when many hosts fail at once.
test("crashes at the same time prove nothing", (t) => {
  const crashes = [1, 2, 3, 4].map((run) =>
    crashAt(100 + run, [`f${run}`], { startedAt: 0 }),
  );
  t.deepEqual(proven([part("p", crashes)]), []);
});

// Guards against a quarantine of the parts of a request that crashes runners itself.
test("crashes under one request again and again prove none of its parts", (t) => {
  const crashes = [100, 200, 300, 400].map((at) => crashAt(at, ["f"]));
  t.deepEqual(proven([part("p", crashes)]), []);
  const another = crashAt(500, ["g"]);
  t.deepEqual(proven([part("p", [...crashes, another])]), ["p"]);
});

// Guards against the refusal of most requests for a part that is at each crash there is.
test("a common part needs five crashes, and none that a rarer part explains", (t) => {
  const crashes = [1, 2, 3, 4, 5].map((turn) =>
    crashAt(100 * turn, [`f${turn}`]),
  );
  const common = part("common", crashes, 0.9);
  t.deepEqual(proven([part("common", crashes.slice(0, 4), 0.9)]), []);
  t.deepEqual(proven([common]), ["common"]);
  const rare = part("rare", crashes.slice(0, 2));
  t.deepEqual(proven([common, rare]), ["rare"]);
});

// Guards against a part found first that hides another one which crashes runners too.
test("two parts that are as rare are both proven, in one request or in different ones", (t) => {
  const together = [crashAt(100, ["f"]), crashAt(200, ["g"])];
  t.deepEqual(proven([part("p", together), part("q", together)]), ["p", "q"]);
  const others = [crashAt(300, ["h"]), crashAt(400, ["i"])];
  t.deepEqual(proven([part("p", together), part("q", others)]), ["p", "q"]);
});

// Guards against a sound part that stays refused as it came with a retried request.
test("a part all of whose crashes are those of a proven part is released", (t) => {
  const crashes = [
    crashAt(100, ["f"]),
    crashAt(200, ["g"]),
    crashAt(300, ["h"]),
  ];
  const companion = part("companion", crashes.slice(0, 2));
  t.deepEqual(proven([companion]), ["companion"]);
  const parts = [part("culprit", crashes), companion];
  t.deepEqual(proven(parts, new Set(["companion"])), ["culprit"]);
});

// Guards against entries that treat a part differently, as their clocks differ.
test("a part stays in quarantine while two crashes are held against it", (t) => {
  const overlapping = [
    crashAt(100, ["f"], { startedAt: 0 }),
    crashAt(110, ["g"], { startedAt: 0 }),
  ];
  const suspected = part("p", overlapping);
  t.deepEqual(proven([suspected]), []);
  t.deepEqual(proven([suspected], new Set(["p"])), ["p"]);
  const cleared = part("p", overlapping.slice(1));
  t.deepEqual(proven([cleared], new Set(["p"])), []);
});
