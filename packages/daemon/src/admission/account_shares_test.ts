import * as ava from "ava";
import * as accountShares from "./account_shares.ts";
import * as peerLoads from "./peer_loads.ts";

const test = ava.default;

function createShares(): {
  shares: accountShares.AccountShares;
  advance: (milliseconds: number) => void;
} {
  let now = 0;
  const clock = () => now;
  const peers = new peerLoads.PeerLoads({ clock, entryCount: () => 1 });
  const shares = new accountShares.AccountShares({
    service: "s",
    clock,
    peers,
  });
  return { shares, advance: (milliseconds) => (now += milliseconds) };
}

test("demands below the level are met in full, the others get the level", (t) => {
  t.is(accountShares.fairLevel([1, 2, 10, 10], 9), 3);
  t.is(accountShares.fairLevel([1, 2, 10, 10], 23), Infinity);
  t.is(accountShares.fairLevel([4, 4], 0), 0);
  t.is(accountShares.fairLevel([], 5), Infinity);
});

test("an account above its share starts the fraction that the share allows", (t) => {
  const { shares, advance } = createShares();
  let started = 0;
  for (let index = 0; index < 12_000; index++) {
    advance(1);
    const account = index % 4 === 0 ? "small" : "large";
    shares.noteArrival(account, 0);
    if (index % 300 === 0) shares.report();
    // The small account asks for 0.25, less than half; 0.35 are left.
    const mayStart = shares.mayStart(account, 0, 0.6);
    if (mayStart) shares.charge(account, 0);
    if (index < 8_000) continue;
    if (account === "small") t.true(mayStart);
    else if (mayStart) started++;
  }
  t.true(started >= 1_300 && started <= 1_500, String(started));
});

// Callers that come back before their time would otherwise pass those that wait
// as they were told.
test("a caller that comes back early is told apart from one on time", (t) => {
  const { shares, advance } = createShares();
  shares.noteExpectedReturn("a", 0, 1_000);
  advance(400);
  t.false(shares.noteReturn("a", 0));
  shares.noteExpectedReturn("a", 0, 600);
  advance(600);
  t.true(shares.noteReturn("a", 0));
  t.true(shares.noteReturn("other", 0));
});
