import type * as historyModule from "./history.ts";

/** In every step all ranks of a group use one expert map. */
export function checkOneMap(
  history: historyModule.History,
): historyModule.Violation[] {
  const changes = [...history.mapUses].sort(
    (left, right) => left.step - right.step,
  );
  const inUse = new Map<number, number>();
  const violations: historyModule.Violation[] = [];
  if (history.mixedSteps > 0) {
    violations.push({
      promise: "one expert map in every step",
      detail: `engines saw ${history.mixedSteps} steps with two maps`,
    });
  }
  changes.forEach((change, index) => {
    inUse.set(change.rank, change.version);
    // A step is judged once all changes that begin with it are taken in.
    if (changes[index + 1]?.step === change.step) return;
    // At the end of a run some ranks may still hold before a step.
    if (change.step >= history.stepsTaken) return;
    const versions = new Set(inUse.values());
    if (versions.size <= 1) return;
    violations.push({
      promise: "one expert map in every step",
      detail: `step ${change.step}: versions ${[...versions].join(", ")}`,
    });
  });
  return violations;
}
