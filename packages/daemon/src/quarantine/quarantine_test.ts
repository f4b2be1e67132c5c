import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as runnerCrash from "./runner_crash.ts";
import type * as quarantine from "./quarantine.ts";
import * as quarantineFixture from "./quarantine_fixture.ts";
import * as runnerCrashFixture from "./runner_crash_fixture.ts";
import type * as watchedRequests from "./watched_requests.ts";

const test = ava.default;

/**
 * The quarantines of several entries, which report to each other over their
 * links.
 */
class Network {
  readonly entries = new Map<string, quarantine.Quarantine>();
  readonly rows = new Set<string>();
  readonly sent: { from: string; to: string; message: wire.Suspicions }[] = [];
  /** Pairs of entries without a link, as "a b". */
  readonly unlinkedPairs = new Set<string>();

  constructor(hosts: string[], relays = false) {
    for (const host of hosts) {
      const entry = quarantineFixture.createQuarantine({
        host,
        entries: () => hosts,
        relays,
        send: (message, except) => this.#deliver(host, message, except),
        rows: {
          store: (fingerprint) => this.rows.add(fingerprint),
          remove: (fingerprint) => this.rows.delete(fingerprint),
        },
      });
      this.entries.set(host, entry);
    }
  }

  at(host: string): quarantine.Quarantine {
    const entry = this.entries.get(host);
    if (!entry) throw new Error(`no entry ${host}`);
    return entry;
  }

  /** Hosts of the entries that have a request in quarantine. */
  hostsQuarantining(fingerprint = "f"): string[] {
    return [...this.entries]
      .filter(([, entry]) =>
        entry.cases().some((one) => one.fingerprint === fingerprint),
      )
      .map(([host]) => host);
  }

  /** Links two entries again, which then exchange their initial messages. */
  link(one: string, other: string): void {
    this.unlinkedPairs.delete(`${one} ${other}`);
    this.unlinkedPairs.delete(`${other} ${one}`);
    for (const [from, to] of [
      [one, other],
      [other, one],
    ]) {
      const message = this.at(from).initialMessage();
      if (message) this.at(to).receive(message, from);
    }
  }

  #deliver(from: string, message: wire.Suspicions, except?: string): void {
    for (const [to, entry] of this.entries) {
      if (to === from || to === except) continue;
      if (
        this.unlinkedPairs.has(`${from} ${to}`) ||
        this.unlinkedPairs.has(`${to} ${from}`)
      ) {
        continue;
      }
      this.sent.push({ from, to, message });
      entry.receive(message, from);
    }
  }
}

let clock = common.now() - 20_000;

/**
 * A crash that interrupts a run of each of these requests, 100 ms after the
 * last one.
 */
function crashOf(
  name: string,
  fingerprints: string[] = ["f"],
): runnerCrash.RunnerCrash {
  clock += 100;
  const startedAt = clock - 50;
  return {
    life: `life of ${name}`,
    runner: name,
    service: "s",
    version: "1",
    endedAt: clock,
    evidence: runnerCrash.CrashEvidence.Refused,
    runs: fingerprints.map((fingerprint) =>
      runnerCrashFixture.interruptedRun({
        request: `of ${fingerprint}`,
        fingerprint,
        startedAt,
      }),
    ),
  };
}

function requestOf(
  change: Partial<watchedRequests.WatchedRequest> = {},
): watchedRequests.WatchedRequest {
  return {
    service: "s",
    fingerprint: "f",
    promptParts: [],
    stop: () => {},
    ...change,
  };
}

test("all entries quarantine a request after crashes that three entries saw", (t) => {
  const network = new Network(["a", "b", "c"]);
  network.at("a").recordCrash(crashOf("i-1"));
  network.at("b").recordCrash(crashOf("i-2"));
  t.deepEqual(network.hostsQuarantining(), []);
  network.at("c").recordCrash(crashOf("i-3"));
  t.deepEqual(network.hostsQuarantining(), ["a", "b", "c"]);
  t.is(network.rows.size, 1);
});

// Entries that did not learn of each other's crashes would send the request to
// more runners.
test("two entries without a link learn of each other's crashes through a third", (t) => {
  const network = new Network(["a", "b", "c"]);
  network.unlinkedPairs.add("a b");
  network.at("a").recordCrash(crashOf("i-1"));
  network.at("b").recordCrash(crashOf("i-2"));
  network.at("a").recordCrash(crashOf("i-3"));
  t.deepEqual(network.hostsQuarantining(), ["a", "b", "c"]);
});

test("an entry without links learns of a quarantine when it is linked again", (t) => {
  const network = new Network(["a", "b", "c"]);
  network.unlinkedPairs.add("a c").add("b c");
  for (const name of ["i-1", "i-2", "i-3"]) {
    network.at("a").recordCrash(crashOf(name));
  }
  t.deepEqual(network.hostsQuarantining(), ["a", "b"]);
  network.link("b", "c");
  t.deepEqual(network.hostsQuarantining(), ["a", "b", "c"]);
});

// In a large system an entry is linked with only a few others.
test("entries that relay reports all quarantine a request, though some pairs are not linked", (t) => {
  const network = new Network(["a", "b", "c", "d"], true);
  network.unlinkedPairs.add("a c").add("a d").add("b d");
  network.at("a").recordCrash(crashOf("i-1"));
  network.at("d").recordCrash(crashOf("i-2"));
  network.at("b").recordCrash(crashOf("i-3"));
  t.deepEqual(network.hostsQuarantining(), ["a", "b", "c", "d"]);
});

test("nothing is sent before a crash, and the report of a crash has no identifiers of requests", (t) => {
  const network = new Network(["a", "b", "c"]);
  network.at("a").answered(requestOf(), "1");
  t.is(network.at("a").initialMessage(), undefined);
  t.is(network.sent.length, 0);
  network.at("a").recordCrash(crashOf("i-1"));
  t.is(network.sent.length, 2);
  t.false(JSON.stringify(network.sent[0].message).includes("of f"));
});

// If all hosts fail, every request that is under way is interrupted by a crash.
test("suspicions reported in one second are limited, the most suspected first", (t) => {
  const network = new Network(["a", "b"]);
  network.at("a").recordCrash(crashOf("i-1"));
  const many = Array.from({ length: 2_000 }, (_, number) => `g-${number}`);
  network.at("a").recordCrash(crashOf("i-2", [...many, "f"]));
  network.at("a").recordCrash(crashOf("i-3", many));
  const reportedSuspicions = network.sent.flatMap(({ message }) =>
    message.ends.flatMap(({ suspicions }) => suspicions),
  );
  t.true(reportedSuspicions.length <= 500);
  t.is(
    reportedSuspicions.filter(({ fingerprint }) => fingerprint === "f").length,
    2,
  );
});

test("a request that is under way is stopped when it is quarantined", (t) => {
  const network = new Network(["a", "b"]);
  let stopped = 0;
  const waiting = requestOf({ stop: () => stopped++ });
  const other = requestOf({ fingerprint: "g", stop: () => t.fail() });
  network.at("b").watch(other);
  const unwatch = network.at("b").watch(waiting);
  for (const name of ["i-1", "i-2", "i-3"]) {
    network.at("a").recordCrash(crashOf(name));
  }
  t.is(stopped, 1);
  unwatch();
  t.true(network.at("b").remainingMilliseconds(waiting) > 0);
  t.is(network.at("b").remainingMilliseconds(other), 0);
});

test("a release by an operator ends a quarantine at all entries, and late reports do not renew it", (t) => {
  const network = new Network(["a", "b", "c"]);
  const crashes = ["i-1", "i-2", "i-3"].map((name) => crashOf(name));
  for (const crash of crashes) network.at("a").recordCrash(crash);
  t.true(network.at("b").lift("f"));
  t.deepEqual(network.hostsQuarantining(), []);
  t.is(network.rows.size, 0);
  // A late report does not quarantine the request again.
  network.at("c").recordCrash(crashes[2]);
  t.deepEqual(network.hostsQuarantining(), []);
  t.false(network.at("b").lift("f"));
});

test("a disproved crash releases the request at all entries", (t) => {
  const network = new Network(["a", "b", "c"]);
  for (const name of ["i-1", "i-2", "i-3"]) {
    network.at("a").recordCrash(crashOf(name));
  }
  network.at("c").disproveCrash("life of i-3");
  t.deepEqual(network.hostsQuarantining(), []);
});

// Other requests, of this caller or others, must still be served.
test("only the request that was under way at all crashes is quarantined", (t) => {
  const network = new Network(["a", "b"]);
  network.at("a").recordCrash(crashOf("i-1", ["f", "g"]));
  network.at("a").recordCrash(crashOf("i-2", ["f", "h"]));
  network.at("a").recordCrash(crashOf("i-3", ["f", "g"]));
  t.deepEqual(network.hostsQuarantining("f"), ["a", "b"]);
  t.deepEqual(network.hostsQuarantining("g"), []);
});

test("a case lists which runners crashed and which entries saw it", (t) => {
  const network = new Network(["a", "b"]);
  network.at("a").recordCrash(crashOf("i-1"));
  const seenTwice = crashOf("i-2");
  network.at("a").recordCrash(seenTwice);
  network.at("b").recordCrash(seenTwice);
  network.at("b").recordCrash(crashOf("i-3"));
  const [quarantineCase] = network.at("a").cases();
  t.is(quarantineCase.fingerprint, "f");
  t.is(quarantineCase.service, "s");
  t.deepEqual(
    quarantineCase.ends.map(({ runner, seenBy }) => [runner, seenBy]),
    [
      ["i-1", ["a"]],
      ["i-2", ["a", "b"]],
      ["i-3", ["b"]],
    ],
  );
});

// An entry that starts a day after a request crashed its runners must
// quarantine it as the others do. Otherwise it would send the request to three
// more runners.
test("entries that start days later quarantine a request that still is in quarantine", (t) => {
  const network = new Network(["a", "b"]);
  network.unlinkedPairs.add("a b");
  const day = 24 * 3_600_000;
  const reports = [1, 2, 3].map((number) => {
    const endedAt = common.now() - 2 * day + 1_000 * number;
    return {
      life: `life-${number}`,
      runner: `r${number}`,
      service: "s",
      version: "1",
      endedAt,
      seenBy: ["c"],
      disproved: false,
      suspicions: [
        { fingerprint: "f", startedAt: endedAt - 50, cleared: false },
      ],
    };
  });
  network.at("a").applyStoredReports(reports);
  t.deepEqual(network.hostsQuarantining(), ["a"]);
  network.link("a", "b");
  t.deepEqual(network.hostsQuarantining(), ["a", "b"]);
  network.at("b").recordCrash(crashOf("r4", ["g"]));
  t.deepEqual(network.hostsQuarantining(), ["a", "b"]);
});

// After all entries have lost their memory only the row is left. Without the
// crash during a trial, the next trial would start far too early.
test("the row of a quarantined request includes crashes during trials", (t) => {
  const storedCounts: number[] = [];
  const entry = quarantineFixture.createQuarantine({
    rows: {
      store: (_, reports) => storedCounts.push(reports.length),
      remove: () => {},
    },
  });
  for (const name of ["i-1", "i-2", "i-3"]) entry.recordCrash(crashOf(name));
  entry.recordCrash(crashOf("i-4"));
  entry.recordCrash(crashOf("i-5", ["g"]));
  t.deepEqual(storedCounts, [3, 4]);
});
