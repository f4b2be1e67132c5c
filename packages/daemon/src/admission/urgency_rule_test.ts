import * as ava from "ava";
import * as urgencyRule from "./urgency_rule.ts";

const test = ava.default;

/** Four runners with 8 slots, all free, that answer 80 requests a second. */
function createSnapshot(
  change: Partial<urgencyRule.ServiceSnapshot> & { outstanding?: number } = {},
): urgencyRule.ServiceSnapshot {
  const { outstanding = 0, ...rest } = change;
  return {
    runners: Array.from({ length: 4 }, (_, index) => ({
      identifier: String(index),
      slots: 8,
      outstanding,
    })),
    mayReturn: true,
    shortestObjectiveMilliseconds: 500,
    starting: 0,
    knownShare: 1,
    demand: new Map(),
    answerMilliseconds: 400,
    firstEventMilliseconds: 150,
    inProgressAtReport: 0,
    startedSinceReport: 0,
    entryShare: 1,
    ...rest,
  };
}

/** A request in time; with these durations a runner may have 2 in its queue. */
function createRequest(
  change: Partial<urgencyRule.AdmissionRequest> = {},
): urgencyRule.AdmissionRequest {
  return {
    urgency: 1,
    objectiveMilliseconds: 500,
    elapsedMilliseconds: 0,
    spentBefore: 0,
    isWaiting: false,
    maxStandstillMilliseconds: 1_500,
    graceMilliseconds: 0,
    ...change,
  };
}

function demandOf(
  perSecond: number,
  running = 0,
  waiting = 0,
): urgencyRule.UrgencyDemand {
  return { running, waiting, arrivalsPerMillisecond: perSecond / 1_000 };
}

const decide = urgencyRule.decideAdmission;

test("a request in time takes slots and places in queues, a late one only slots", (t) => {
  const late = createRequest({ spentBefore: 600 });
  const full = createSnapshot({ outstanding: 8 });
  t.is(decide(full, createRequest()).kind, "start");
  t.not(decide(full, late).kind, "start");
  const overfull = createSnapshot({ outstanding: 10 });
  const decision = decide(overfull, createRequest());
  t.not(decision.kind, "start");
});

test("what more urgent requests need is left to them, and released when unused", (t) => {
  const snapshot = (urgent: urgencyRule.UrgencyDemand) =>
    createSnapshot({ outstanding: 6, demand: new Map([[0, urgent]]) });
  const decision = decide(snapshot(demandOf(60)), createRequest());
  t.true(
    decision.kind !== "start" &&
      decision.reason === urgencyRule.AdmissionReason.Reserved,
  );
  const urgent = createRequest({ urgency: 0 });
  t.is(decide(snapshot(demandOf(60)), urgent).kind, "start");
  t.is(decide(snapshot(demandOf(5)), createRequest()).kind, "start");
  t.is(decide(snapshot(demandOf(60, 30)), createRequest()).kind, "start");
});

// Where nothing is known, a request that is held back for nothing is late.
test("without measured durations, or without runners to wait for, a request starts", (t) => {
  const unmeasured = { outstanding: 50, answerMilliseconds: undefined };
  t.is(decide(createSnapshot(unmeasured), createRequest()).kind, "start");
  const none = { runners: [], mayReturn: false };
  t.is(decide(createSnapshot(none), createRequest()).kind, "start");
});

test("runners that stand still are waited for until the request's limit", (t) => {
  const snapshot = createSnapshot({ runners: [] });
  const waiting = createRequest({ elapsedMilliseconds: 600 });
  const decision = decide(snapshot, waiting);
  t.true(decision.kind === "wait" && decision.milliseconds === 900);
  const expired = createRequest({ elapsedMilliseconds: 1_500 });
  t.is(decide(snapshot, expired).kind, "start");
});

test("a request is refused at once if those before it need longer than it can wait", (t) => {
  const snapshot = (waiting: number) =>
    createSnapshot({
      outstanding: 10,
      demand: new Map([[1, demandOf(80, 40, waiting)]]),
    });
  const decision = decide(snapshot(3), createRequest());
  t.true(decision.kind === "wait" && decision.milliseconds === 100);
  t.is(decide(snapshot(20), createRequest()).kind, "refuse");
  const waited = { isWaiting: true, elapsedMilliseconds: 100 };
  t.is(decide(snapshot(3), createRequest(waited)).kind, "refuse");
});

test("an entry starts only its part of the free capacity between two reports", (t) => {
  const snapshot = (startedSinceReport: number) =>
    createSnapshot({
      outstanding: 6,
      inProgressAtReport: 24,
      entryShare: 0.25,
      startedSinceReport,
    });
  t.is(decide(snapshot(3), createRequest()).kind, "start");
  const decision = decide(snapshot(4), createRequest());
  t.true(
    decision.kind === "wait" &&
      decision.reason === urgencyRule.AdmissionReason.EntryShare,
  );
});

// An entry cut off from the others does not know what they send.
test("an entry that hears a quarter of the entries uses a quarter of the capacity", (t) => {
  const snapshot = (outstanding: number) =>
    createSnapshot({ outstanding, knownShare: 0.25 });
  t.is(decide(snapshot(2), createRequest()).kind, "start");
  t.not(decide(snapshot(3), createRequest()).kind, "start");
});
