import * as switchWorld from "./switch_world.ts";

/** Steps that a successor takes at most, with a wide margin. */
const RESCUE_STEPS = 100;

/** What an exploration found. */
export interface Exploration {
  /** Different states seen. */
  states: number;
  /** Runs that went on until nothing more could happen. */
  ends: number;
  /** Ends at which the next pass is held. */
  heldEnds: number;
  /** Of these, the ones that a successor could not free when all is well again. */
  stuckEnds: number;
  /** Choices that led to a pass with two maps; `undefined` if none does. */
  violation: string[] | undefined;
  /** Whether all states were seen, and not only the first ones. */
  complete: boolean;
}

/** Lets all that can go on without a further choice go on. */
function settleDown(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** A run up to the end of some choices. */
async function replay(
  world: switchWorld.World,
  path: readonly string[],
): Promise<switchWorld.SwitchWorld> {
  const run = new switchWorld.SwitchWorld(world);
  await settleDown();
  for (const name of path) {
    run.choices().get(name)?.();
    await settleDown();
  }
  return run;
}

/** Whether a successor frees the group once all is well again. */
async function isRescued(run: switchWorld.SwitchWorld): Promise<boolean> {
  run.rescue();
  for (let step = 0; step < RESCUE_STEPS; step++) {
    await settleDown();
    if (!run.group.held) return true;
    const [next] = [...run.choices()].filter(([name]) => name !== "pass");
    next?.[1]();
  }
  return false;
}

/**
 * Follows all choices of a world, depth first. Actors cannot be copied, so a branch
 * is reached by running its choices anew; states that were seen are left.
 */
export async function explore(
  world: switchWorld.World,
  mostStates: number,
): Promise<Exploration> {
  const seen = new Set<string>();
  const found: Exploration = {
    states: 0,
    ends: 0,
    heldEnds: 0,
    stuckEnds: 0,
    violation: undefined,
    complete: true,
  };
  const branches: string[][] = [[]];
  while (branches.length > 0 && !found.violation) {
    const path = branches.pop() ?? [];
    const run = await replay(world, path);
    for (;;) {
      if (run.group.mixed) {
        found.violation = path;
        break;
      }
      const state = run.describe();
      if (seen.has(state)) break;
      if (seen.size >= mostStates) return { ...found, complete: false };
      seen.add(state);
      found.states = seen.size;
      const names = [...run.choices().keys()];
      const [first, ...others] = names;
      if (first === undefined) {
        found.ends++;
        if (!run.group.held) break;
        found.heldEnds++;
        if (!(await isRescued(run))) found.stuckEnds++;
        break;
      }
      for (const name of others) branches.push([...path, name]);
      path.push(first);
      run.choices().get(first)?.();
      await settleDown();
    }
  }
  return found;
}
