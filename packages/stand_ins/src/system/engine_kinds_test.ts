import * as ava from "ava";
import * as fault from "../explore/fault.ts";
import * as runCase from "../explore/run_case.ts";
import * as schedule from "../explore/schedule.ts";

const test = ava.default;

const ENGINE_KINDS = [
  { checksFencing: true, numbersSteps: true },
  { checksFencing: false, numbersSteps: true },
  { checksFencing: false, numbersSteps: false },
];

// The coordinator dies with orders under way and late. Its successor takes over
// with a higher number; engines that ignore the number are guarded by their
// agents, so no step runs with two maps either way.
for (const kind of ENGINE_KINDS) {
  test(`switches survive a coordinator, engines ${JSON.stringify(kind)}`, async (t) => {
    const { KillCoordinator, LateOrders } = fault.FaultKind;
    const one = schedule.pairCase(KillCoordinator, LateOrders);
    const configuration = runCase.exploreConfiguration(kind.numbersSteps);
    const result = await runCase.runCase(one, { ...kind, configuration });
    t.deepEqual(result.violations, []);
  });
}
