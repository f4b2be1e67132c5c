import * as ava from "ava";
import type * as traffic from "@geraniumkeel/traffic";
import * as expectedDurations from "./expected_durations.ts";

const test = ava.default;

function createEngine(
  change: Partial<traffic.EngineShape> = {},
): traffic.EngineShape {
  return {
    slots: 8,
    stepMilliseconds: 4,
    sequenceMilliseconds: 1,
    promptTokensPerMillisecond: 50,
    stepsPerPass: 5,
    layers: 1,
    expertsPerLayer: 1,
    expertSlots: 1,
    spareSlots: 0,
    expertShare: 0,
    copyMilliseconds: 0,
    usualPromptTokens: 1_000,
    usualAnswerTokens: 100,
    ...change,
  };
}

// After a restart of all entries nothing is measured. Without an expectation
// all callers of the outage were let in at once and were late together.
test("durations follow from the engine's figures with half of the slots taken", (t) => {
  t.deepEqual(expectedDurations.expectedDurations(createEngine()), {
    firstEventMilliseconds: 60,
    answerMilliseconds: 860,
  });
});

test("nothing is expected of engines whose figures are not stated", (t) => {
  const unstated = [
    undefined,
    createEngine({ usualAnswerTokens: 0 }),
    createEngine({ promptTokensPerMillisecond: 0 }),
  ];
  for (const engine of unstated)
    t.is(expectedDurations.expectedDurations(engine), undefined);
});
