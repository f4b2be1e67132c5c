import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as configuration from "@geraniumkeel/configuration";
import * as configurationModule from "@geraniumkeel/configuration";
import * as configurationHolder from "@geraniumkeel/daemon/configuration/configuration_holder";
import * as outgoingAttempt from "@geraniumkeel/daemon/dispatch/outgoing_attempt";
import * as attemptTable from "@geraniumkeel/daemon/upstream/attempt_table";
import * as wire from "@geraniumkeel/wire";
import * as checkAnswers from "../checkers/check_answers.ts";
import * as checkConfiguration from "../checkers/check_configuration.ts";
import * as checkLeaving from "../checkers/check_leaving.ts";
import * as historyModule from "../checkers/history.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as tcpProxy from "../testing/tcp_proxy.ts";
import type * as cluster from "../testing/cluster.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

/** A table that says "never started" without remembering that it did. */
class TableWithoutTombstones extends attemptTable.AttemptTable {
  override settle(): wire.AttemptState {
    return wire.AttemptState.NeverStarted;
  }
}

/**
 * Entry A claims an attempt and is paused. Entry B settles it, hears "never
 * started", and tells its caller so. Then A wakes and sends after all.
 */
function pausedEntry(table: attemptTable.AttemptTable): historyModule.History {
  const history = historyModule.emptyHistory();
  const attempt = {
    identifier: "work/1",
    agentIncarnation: table.incarnation,
    issuedAt: table.clock(),
  };
  const told = table.settle(attempt);
  const outcome =
    told === wire.AttemptState.NeverStarted ? "not-run" : "may-have-run";
  history.calls.push({
    work: "work",
    repeatable: false,
    outcome,
    detail: "",
    duringPlannedStopOnly: false,
  });
  if (table.admit(attempt).admitted) history.starts.set("work", 1);
  return history;
}

// The caller was told "not run" and acts on it; the delivery is confirmed all
// the same when the paused entry goes on.
test("without tombstones a request told not run does run", (t) => {
  const off = pausedEntry(new TableWithoutTombstones("one"));
  t.is(checkAnswers.checkNotRun(off).length, 1);
  const on = pausedEntry(new attemptTable.AttemptTable("one"));
  t.deepEqual(checkAnswers.checkNotRun(on), []);
});

/** A keeper that believes whatever it hears last. */
class KeeperWithoutOrder {
  readonly history: common.HistoryEntry[] = [];

  adopt(head: configuration.Head): void {
    const { revision } = head;
    this.history.push({ kind: "in-force", revision });
  }
}

function headAt(revision: number): configuration.Head {
  const document = configurationModule.DOCUMENT.parse(
    testConfiguration.testConfiguration(),
  );
  const sections = Object.fromEntries(
    Object.keys(configurationModule.splitDocument(document)).map((name) => [
      name,
      revision,
    ]),
  );
  return { revision, nonce: "", presetInForce: "ordinary", sections };
}

function pushesAt(revision: number): wire.SectionPush[] {
  const document = configurationModule.DOCUMENT.parse(
    testConfiguration.testConfiguration(),
  );
  const texts = configurationModule.splitDocument(document);
  return Object.entries(texts).map(([name, text]) => ({
    name,
    revision,
    text,
  }));
}

function revertsIn(entries: common.HistoryEntry[]): historyModule.Violation[] {
  const history = historyModule.emptyHistory();
  for (const { revision } of entries) {
    const at = 0;
    history.inForce.push({ process: "e", revision: revision as number, at });
  }
  return checkConfiguration.checkNoRevert(history);
}

// Maintenance is switched on as revision 3; then a stale answer of the store
// with revision 2 arrives. Callers are served under the old preset again.
test("without order of revisions a stale answer reverts a preset", (t) => {
  const off = new KeeperWithoutOrder();
  for (const revision of [1, 3, 2]) off.adopt(headAt(revision));
  t.is(revertsIn(off.history).length, 1);
  const entries: common.HistoryEntry[] = [];
  const on = new configurationHolder.ConfigurationHolder({
    logger: new common.RecordingLogger(),
    history: { record: (entry) => void entries.push(entry) },
    host: "e",
    unreadable: new common.UnreadableRows({
      table: "configuration",
      metrics: common.discardMetrics(),
      log: (_key, reason) => t.fail(reason),
    }),
  });
  for (const revision of [1, 3, 2]) {
    on.adopt(headAt(revision), pushesAt(revision));
  }
  t.deepEqual(
    entries.map(({ revision }) => revision),
    [1, 3],
  );
  t.deepEqual(revertsIn(entries), []);
});

// The link breaks after four pieces of which the entry had passed on three; the
// runner sends again from the third. Without numbers one piece comes twice.
test("without numbered pieces a resumed answer repeats itself", async (t) => {
  const frames: [number, string[]][] = [
    [0, ["a", "b", "c"]],
    [2, ["c", "d"]],
  ];
  const naive = frames.flatMap(([, pieces]) => pieces).join("");
  t.is(naive, "abccd");
  const attempt = { identifier: "1", agentIncarnation: "one", issuedAt: 0 };
  const outgoing = new outgoingAttempt.OutgoingAttempt(attempt, 8);
  for (const [offset, pieces] of frames) outgoing.receivePieces(offset, pieces);
  outgoing.events.close();
  let text = "";
  for await (const event of outgoing.events) {
    if (event.kind !== outgoingAttempt.AttemptEventKind.Pieces) continue;
    text += event.pieces.join("");
  }
  t.is(text, "abcd");
});

// An entry is taken out without draining: its caller's answer is cut off.
test(
  "without draining a planned stop cuts an answer off",
  withCluster.withCluster({}, async (t, system) => {
    const [entry] = system.entries;
    const answering = system
      .generate({ prompt: "long [tokens=300]" })
      .then(({ body }) => body.endsWith("data: [DONE]\n\n"))
      .catch(() => false);
    await system.until(() => entry.running.unfinished() > 0);
    await system.kill(entry);
    const whole = await answering;
    const history = historyModule.emptyHistory();
    history.calls.push({
      work: "long",
      repeatable: true,
      outcome: whole ? "whole" : "broken",
      detail: "",
      duringPlannedStopOnly: true,
    });
    t.is(checkAnswers.checkPlannedStops(history).length, 1);
  }),
);

// A host is to leave and nobody is told: it is given work as before, past the
// seconds allowed.
test(
  "without a word of leaving a host gets work for ever",
  withCluster.withCluster({}, async (t, system) => {
    const history = historyModule.emptyHistory();
    system.engine.group.onStart = (rank) =>
      history.workStarts.push({ host: `rank-${rank}`, at: common.now() });
    history.leavings.push({ host: "rank-0", at: common.now() });
    await system.until(async () => {
      await system.generate({ prompt: `${common.now()} [tokens=4]` });
      return checkLeaving.checkLeaving(history).length > 0;
    });
    t.true(checkLeaving.checkLeaving(history).length > 0);
  }),
);

/** Long enough for the store to be read at the start and never again. */
const NEVER_MILLISECONDS = 86_400_000;

/** Revision in force at an entry. */
function revisionOf(entry: cluster.ClusterProcess): number {
  const state = entry.running.state() as {
    configuration: { revision: number };
  };
  return state.configuration.revision;
}

/** Switches the preset at one of two entries that do not hear each other. */
async function switchWhileCut(
  system: cluster.Cluster,
): Promise<historyModule.History> {
  const history = historyModule.emptyHistory();
  const { entries } = system;
  for (const { proxy } of entries) proxy?.set(tcpProxy.ProxyMode.Cut);
  const answer = await system.usePreset("peak");
  const revision = answer.body.revision as number;
  history.accepted.push({ revision, at: common.now() });
  return history;
}

function noteFinal(
  system: cluster.Cluster,
  history: historyModule.History,
): void {
  for (const entry of system.entries) {
    const revision = revisionOf(entry);
    history.final.push({ process: entry.name, revision });
  }
}

const CUT = { entries: 2, proxied: true };

// A preset is switched at one entry. The push does not get through, and the
// other entry never asks the store: its callers stay under the old preset.
test(
  "without reads of the store a missed push is missed for good",
  withCluster.withCluster(
    {
      ...CUT,
      timing: { configurationPoll: NEVER_MILLISECONDS, inForceTimeout: 500 },
    },
    async (t, system) => {
      const history = await switchWhileCut(system);
      noteFinal(system, history);
      t.is(checkConfiguration.checkInForceEverywhere(history).length, 1);
    },
  ),
);

// The same with reads of the store: the other entry finds the new revision.
test(
  "a missed push is made good from the store",
  withCluster.withCluster(CUT, async (t, system) => {
    const history = await switchWhileCut(system);
    const [{ revision }] = history.accepted;
    await system.until(() =>
      system.entries.every((entry) => revisionOf(entry) >= revision),
    );
    noteFinal(system, history);
    t.deepEqual(checkConfiguration.checkInForceEverywhere(history), []);
  }),
);

/** A caller whose answer breaks off asks again; runs counted by the service. */
async function confirmTwice(
  system: cluster.Cluster,
  key: string | undefined,
): Promise<historyModule.History> {
  const history = historyModule.emptyHistory();
  const work = `work-${key}`;
  system.plain.onCall = (call) => {
    history.starts.set(call, (history.starts.get(call) ?? 0) + 1);
  };
  system.plain.faults.breakAnswers = 1;
  const asking = { path: "/confirm", call: work, key };
  for (let tries = 0; tries < 2; tries++) {
    await system.call(asking).catch(() => undefined);
  }
  history.calls.push({
    work,
    repeatable: false,
    outcome: "whole",
    detail: "",
    duringPlannedStopOnly: false,
  });
  return history;
}

// The service does its work and its answer breaks off. The caller cannot know,
// asks again, and the delivery is confirmed twice; under a key it is not.
test(
  "without a claim a confirmation asked for again runs twice",
  withCluster.withCluster({}, async (t, system) => {
    const off = await confirmTwice(system, undefined);
    t.is(checkAnswers.checkAtMostOnce(off).length, 1);
    const on = await confirmTwice(system, "stamp-1");
    t.deepEqual(checkAnswers.checkAtMostOnce(on), []);
  }),
);
