import * as fastCheck from "fast-check";
import * as fault from "./fault.ts";

const RUN_MILLISECONDS = 2_500;
const ALL = Object.values(fault.FaultKind);

/** Any fault at any moment of a run. */
const TIMED_FAULT: fastCheck.Arbitrary<fault.TimedFault> = fastCheck.record({
  kind: fastCheck.constantFrom(...ALL),
  atMilliseconds: fastCheck.integer({ min: 0, max: 1_500 }),
  lengthMilliseconds: fastCheck.integer({ min: 200, max: 1_200 }),
});

/** Runs with one to three faults at any moments. */
export const CASE: fastCheck.Arbitrary<fault.ExploreCase> = fastCheck.record({
  seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
  milliseconds: fastCheck.constant(RUN_MILLISECONDS),
  faults: fastCheck.array(TIMED_FAULT, { minLength: 1, maxLength: 3 }),
});

/** Cases by seed, always the same. */
export function generateCases(
  seed: number,
  count: number,
): fault.ExploreCase[] {
  return fastCheck.sample(CASE, { seed, numRuns: count });
}

/** A run with one fault in its middle. */
export function singleCase(kind: fault.FaultKind): fault.ExploreCase {
  const atMilliseconds = 400;
  const lengthMilliseconds = 900;
  return {
    seed: 1 + ALL.indexOf(kind),
    milliseconds: RUN_MILLISECONDS,
    faults: [{ kind, atMilliseconds, lengthMilliseconds }],
  };
}

/** A run with two faults that overlap. */
export function pairCase(
  first: fault.FaultKind,
  second: fault.FaultKind,
): fault.ExploreCase {
  const one = singleCase(first);
  const [other] = singleCase(second).faults;
  return {
    ...one,
    seed: one.seed * 100 + ALL.indexOf(second),
    faults: [...one.faults, { ...other, atMilliseconds: 700 }],
  };
}
