import * as ava from "ava";
import * as explore from "./explore.ts";
import * as switchWorld from "./switch_world.ts";

const test = ava.default;

/** States that CI looks at in each world; `npm run interleavings` sees them all. */
const MOST_STATES = 20_000;

function worldOf(
  budgets: Partial<switchWorld.Budgets>,
  successors: switchWorld.Actor[] = [],
  armedLast = switchWorld.ArmedLast.Own,
): switchWorld.World {
  const none = { late: 0, unanswered: 0, freezes: 0 };
  return {
    budgets: { passes: 3, pauses: 1, ...none, ...budgets },
    successors,
    armedLast,
    counting: false,
  };
}

const { HolderSuccessor, OtherSuccessor } = switchWorld.Actor;

const WORLDS: Record<string, switchWorld.World> = {
  "passes begin at any moment of a switch": worldOf({}),
  "the leader freezes at any moment, and the holder's host succeeds": worldOf(
    { freezes: 1 },
    [HolderSuccessor],
  ),
  "the leader freezes at any moment, and a third host succeeds": worldOf(
    { freezes: 1 },
    [OtherSuccessor],
  ),
  "the leader freezes twice": worldOf({ freezes: 2, pauses: 2 }, [
    HolderSuccessor,
  ]),
  "an order is carried out late beside a successor": worldOf({ late: 1 }, [
    HolderSuccessor,
  ]),
  "an answer is lost while the leader freezes": worldOf(
    { unanswered: 1, freezes: 1 },
    [HolderSuccessor],
  ),
  "an order is late at engines that count orders": {
    ...worldOf({ late: 1 }, [HolderSuccessor]),
    counting: true,
  },
  "two successors settle beside a leader that is awake": worldOf({}, [
    HolderSuccessor,
    OtherSuccessor,
  ]),
};

// Callers would get answers made with two maps, or streams that stand still for good.
// Leader and successors give their orders while passes begin, the leader's host
// freezes and wakes, and orders are carried out late or get no answer. Every order
// of these events that is possible is followed, up to a bound.
for (const [name, world] of Object.entries(WORLDS)) {
  test(`one map in every pass: ${name}`, async (t) => {
    const found = await explore.explore(world, MOST_STATES);
    t.is(found.violation, undefined);
    t.is(found.stuckEnds, 0);
    t.true(found.ends > 0);
  });
}

// A checker that finds nothing proves nothing. Were the leader's own rank armed with
// the others, a successor would go back although that rank is armed.
test("arming the leader's own rank among the others is found out", async (t) => {
  const world = worldOf(
    { freezes: 1 },
    [HolderSuccessor],
    switchWorld.ArmedLast.Other,
  );
  const found = await explore.explore(world, MOST_STATES);
  t.truthy(found.violation);
});
