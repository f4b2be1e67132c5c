import * as ava from "ava";
import * as registeredRunners from "./registered_runners.ts";
import type * as runnerEntry from "./runner_entry.ts";
import * as runnerFixture from "./runner_fixture.ts";

const test = ava.default;

function runnerAt(
  place: number,
  others: Partial<runnerEntry.RunnerEntry> = {},
): runnerEntry.RunnerEntry {
  const identifier = `i-${place}`;
  const address = `10.0.0.${place}`;
  return runnerFixture.createRunner({ identifier, address, ...others });
}

function registrationOf(
  place: number,
  sequence: number,
  others: Partial<runnerEntry.RunnerEntry> = {},
): registeredRunners.Registration {
  const runner = runnerAt(place, others);
  return { runner, sequence, writtenAt: sequence, warmUpMilliseconds: 0 };
}

function allOf(
  registrations: registeredRunners.Registration[],
): Map<string, registeredRunners.Registration> {
  return new Map(
    registrations.map((one) => [one.runner.identifier, one] as const),
  );
}

/** Two runners that are listed. */
function createTwo(): registeredRunners.RegisteredRunners {
  const registered = new registeredRunners.RegisteredRunners();
  const both = allOf([registrationOf(1, 5), registrationOf(2, 5)]);
  registered.replaceAll(both, { now: 0 });
  return registered;
}

function placesOf(
  registered: registeredRunners.RegisteredRunners,
  now: number,
): string[] {
  return registered.current(now).map(({ identifier }) => identifier);
}

const [ONE, TWO] = [1, 2].map((place) => runnerAt(place).identifier);

// Entries that lapsed while the table was away are written again within two seconds.
// Runners that are struck off at once turn a short outage into one of the service.
test("a runner that is missing after a gap is kept for two seconds", (t) => {
  const registered = createTwo();
  const only = allOf([registrationOf(1, 6)]);
  registered.replaceAll(only, { now: 1_000, keepUntil: 3_000 });
  t.deepEqual(placesOf(registered, 2_900), [ONE, TWO]);
  registered.write(TWO, registrationOf(2, 6), 2_900);
  t.deepEqual(placesOf(registered, 9_000), [ONE, TWO]);
});

test("a runner that is still missing two seconds after a gap is gone", (t) => {
  const registered = createTwo();
  registered.remove(TWO, { now: 1_000, keepUntil: 3_000 });
  registered.remove(TWO, { now: 2_500, keepUntil: 4_500 });
  t.deepEqual(placesOf(registered, 2_999), [ONE, TWO]);
  t.deepEqual(placesOf(registered, 3_000), [ONE]);
});

// An entry that leaves the looks to others looks again long after an outage. Requests
// go to a runner that left, if its row is then taken for one that may come back.
test("a runner that is found missing later than two seconds after a gap is gone", (t) => {
  const registered = createTwo();
  registered.remove(TWO, { now: 9_000, keepUntil: 3_000 });
  t.deepEqual(placesOf(registered, 9_000), [ONE]);
});

test("a runner whose row is removed while the table is well is gone at once", (t) => {
  const registered = createTwo();
  registered.remove(TWO, { now: 1_000 });
  t.deepEqual(placesOf(registered, 1_000), [ONE]);
});

// A copy of the table has the rows of runners that were gone before it came back.
test("a runner that is gone does not come back with an old row", (t) => {
  const registered = createTwo();
  registered.remove(TWO, { now: 1_000 });
  const copy = allOf([registrationOf(1, 4), registrationOf(2, 4)]);
  registered.replaceAll(copy, { now: 5_000, keepUntil: 7_000 });
  t.deepEqual(placesOf(registered, 5_000), [ONE]);
});

test("a runner that lapsed and wrote since is back", (t) => {
  const registered = createTwo();
  registered.remove(TWO, { now: 1_000 });
  const newer = allOf([registrationOf(1, 6), registrationOf(2, 6)]);
  registered.replaceAll(newer, { now: 5_000, keepUntil: 7_000 });
  t.deepEqual(placesOf(registered, 5_000), [ONE, TWO]);
});

// Its successor at the same address is there: requests to the former are turned away.
test("a runner that is missing goes behind another one at its place", (t) => {
  const registered = createTwo();
  const { address, port } = runnerAt(2);
  const successor = registrationOf(3, 1, { address, port });
  const now = allOf([registrationOf(1, 6), successor]);
  registered.replaceAll(now, { now: 1_000, keepUntil: 3_000 });
  const third = successor.runner.identifier;
  t.deepEqual(placesOf(registered, 1_100).sort(), [ONE, third].sort());
});

// Guards against a warm-up that begins anew with each reading of the table.
test("a row that is read again does not prolong a warm-up, and a new one does", (t) => {
  const registered = new registeredRunners.RegisteredRunners();
  const isCold = (now: number) => registered.current(now)[0].warmingUp;
  const row = registrationOf(1, 5);
  registered.write(ONE, { ...row, warmUpMilliseconds: 1_000 }, 0);
  registered.write(ONE, { ...row, warmUpMilliseconds: 1_000 }, 900);
  t.true(isCold(999));
  t.false(isCold(1_000));
  const newer = registrationOf(1, 6);
  registered.write(ONE, { ...newer, warmUpMilliseconds: 3_000 }, 2_000);
  t.true(isCold(4_999));
  t.false(isCold(5_000));
});
