import * as explore from "./explore.ts";
import * as switchWorld from "./switch_world.ts";

/** States after which a world is left, whatever is left of it: some minutes. */
const MOST_STATES = 2_000_000;

const { HolderSuccessor, OtherSuccessor } = switchWorld.Actor;
const NONE = { passes: 3, pauses: 1, late: 0, unanswered: 0, freezes: 0 };
/** Engines that do not count orders are the harder ones. */
const COMMON = { armedLast: switchWorld.ArmedLast.Own, counting: false };

const WORLDS: Record<string, switchWorld.World> = {
  freeze: {
    budgets: { ...NONE, freezes: 2, pauses: 2 },
    successors: [HolderSuccessor],
    ...COMMON,
  },
  late: {
    budgets: { ...NONE, late: 1 },
    successors: [HolderSuccessor],
    ...COMMON,
  },
  "late and freeze": {
    budgets: { ...NONE, late: 1, freezes: 1 },
    successors: [HolderSuccessor],
    ...COMMON,
  },
  "unanswered and freeze": {
    budgets: { ...NONE, unanswered: 1, freezes: 1 },
    successors: [HolderSuccessor],
    ...COMMON,
  },
  "two successors": {
    budgets: NONE,
    successors: [HolderSuccessor, OtherSuccessor],
    ...COMMON,
  },
};

for (const [name, world] of Object.entries(WORLDS)) {
  const found = await explore.explore(world, MOST_STATES);
  process.stdout.write(`${JSON.stringify({ name, ...found })}\n`);
  if (found.violation || found.stuckEnds > 0) process.exitCode = 1;
}
