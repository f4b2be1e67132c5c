import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as memberTable from "../membership/member_table.ts";
import * as rateLimitPermit from "../rate_limit/rate_limit_permit.ts";
import * as heartbeatClock from "./heartbeat_clock.ts";
import * as meshPeer from "./mesh_peer.ts";

const test = ava.default;

/** Changes of the time of day, one after the other. */
const CHANGES = [5_000, -10_000, 3_000, 60_000, -58_000];
/** Real time that a test may take between two readings of an age. */
const TOLERANCE_MILLISECONDS = 1_000;

/** Sets the time of day of this process forward, or back, by so much. */
function setForwardBy(milliseconds: number): void {
  Date.now = () => TIME_OF_DAY() + milliseconds;
}

const TIME_OF_DAY = Date.now;

test.afterEach.always(() => {
  Date.now = TIME_OF_DAY;
});

// Guards against entries that refuse all requests, or serve keys that were taken away,
// until the next proof, as the time of day is set.
test.serial("proofs of freshness keep their age", (t) => {
  const held = new traffic.ProvenValue<traffic.Versioned>();
  const clock = new heartbeatClock.HeartbeatClock();
  held.offer({ version: 3 });
  const echoedStamp = clock.nextStamp();
  const proof = { echoedStamp, echoedAge: 0, factAge: 200 };
  for (const change of CHANGES) {
    setForwardBy(change);
    const at = clock.provenAt(proof);
    if (!at) return t.fail("no proof");
    held.prove(3, at);
    const ages = [common.ageOf(at), held.age, held.heldMilliseconds + 200];
    for (const age of ages) {
      t.true(age >= 200, `${age}`);
      t.true(age < 200 + TOLERANCE_MILLISECONDS, `${age}`);
    }
  }
});

// Guards against entries that all count as unreachable at once.
test.serial("an entry that was just heard counts as heard", (t) => {
  const peer = new meshPeer.MeshPeer({} as never, "i", {} as never);
  peer.receive({ stamp: 1 } as never);
  for (const change of CHANGES) {
    setForwardBy(change);
    t.true(peer.heartbeatAge >= 0);
    t.true(peer.heartbeatAge < TOLERANCE_MILLISECONDS);
    t.true(peer.echo(common.now()).echoedAge < TOLERANCE_MILLISECONDS);
  }
});

// Guards against turns that come early or never.
test.serial("a permit keeps its turn and its end", (t) => {
  const permit = new rateLimitPermit.RateLimitPermit("i", 60_000);
  for (const change of CHANGES) {
    setForwardBy(change);
    const remaining = permit.remainingMilliseconds();
    t.true(remaining > 60_000 - TOLERANCE_MILLISECONDS, `${remaining}`);
    t.true(remaining <= 60_000, `${remaining}`);
    t.false(permit.isExpired());
  }
});

/** A table of a process on a host, by the time of day at its start. */
function tableOf(
  host: string,
  incarnation: string,
  clock: () => number,
): memberTable.MemberTable {
  const self = { host, incarnation, place: "p", callerUrl: "", peerUrl: "" };
  return new memberTable.MemberTable(self, clock);
}

/** What a member knows of another one that is suspected, departs and returns. */
function membership(changes: number[]): unknown[] {
  let now = 0;
  const clock = () => now;
  const seen: unknown[] = [];
  const here = tableOf("here", "one", clock);
  let there = tableOf("there", "one", clock);
  const exchange = () => {
    for (const member of there.all) here.merge(member);
    for (const member of here.all) there.merge(member);
    for (const member of there.all) here.merge(member);
    const { state, incarnation } = here.get("there") ?? {};
    seen.push({ state, incarnation, alive: here.alive.length });
  };
  for (const change of changes) {
    setForwardBy(change);
    exchange();
    there.updateSelf({ state: wire.MemberState.Draining });
    exchange();
    here.suspect("there");
    seen.push(here.get("there")?.state);
    now += 30_000;
    setForwardBy(-change);
    here.expire(60_000);
    seen.push(here.get("there")?.state);
    now += 40_000;
    here.expire(60_000);
    seen.push(here.get("there")?.state);
    there = tableOf("there", `after ${seen.length}`, clock);
    exchange();
    exchange();
  }
  return seen;
}

// Guards against a member whose new process is taken for the old one, as its time of
// day was set back between the two.
test.serial("members are told apart and seen alike", (t) => {
  const expected = membership(CHANGES.map(() => 0));
  t.deepEqual(membership(CHANGES), expected);
});
