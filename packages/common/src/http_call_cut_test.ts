import * as ava from "ava";
import * as cutAnswerFixture from "./cut_answer_fixture.ts";
import * as httpCall from "./http_call.ts";
import * as httpCallFixture from "./http_call_fixture.ts";

const test = ava.default;

const AT_ONCE = 16;
const SILENCE_MILLISECONDS = 100;
const LATE_MILLISECONDS = 1_000;

/** Calls a far end with each cut answer; returns how many, and what is wrong. */
async function callAll(
  t: ava.ExecutionContext,
  cuts: Iterable<cutAnswerFixture.CutAnswer>,
  milliseconds: number,
): Promise<{ count: number; faults: string[] }> {
  const faults: string[] = [];
  const given: cutAnswerFixture.CutAnswer[] = [];
  const ports: number[] = [];
  for (let worker = 0; worker < AT_ONCE; worker++) {
    const farEnd = new httpCallFixture.FarEnd((socket) => {
      void cutAnswerFixture.sendCut(socket, given[worker]);
    });
    t.teardown(() => farEnd.close());
    ports.push(await farEnd.listen());
  }
  const count = await cutAnswerFixture.forEachAtOnce(
    cuts,
    AT_ONCE,
    async (cut, worker) => {
      given[worker] = cut;
      const signal = AbortSignal.timeout(milliseconds);
      const outcome = await httpCallFixture.outcomeOf(ports[worker], {
        signal,
      });
      const note = (what: string) =>
        faults.push(`${what}: ${cutAnswerFixture.describeCut(cut)}`);
      const { answer, failure } = outcome;
      if (answer && !cutAnswerFixture.mayLookWhole(cut))
        note(`taken for whole, with ${JSON.stringify(answer.body)}`);
      if (!answer && cutAnswerFixture.mustLookWhole(cut)) note("refused");
      if (failure && failure.kind !== httpCall.HttpCallFailureKind.Unanswered)
        note(failure.kind);
      if (outcome.milliseconds > milliseconds + LATE_MILLISECONDS)
        note(`${outcome.milliseconds} ms`);
    },
  );
  return { count, faults };
}

// Guards against a runner that stops in its answer's head, or in its body, and whose
// caller gets a whole answer with an empty or short body, or a second run.
test("an answer that ends or is reset after any byte is not whole", async (t) => {
  const { End, LateEnd, Reset } = cutAnswerFixture.CutEnding;
  const cuts = cutAnswerFixture.cutAnswers([End, LateEnd, Reset]);
  const { count, faults } = await callAll(t, cuts, 5_000);
  t.log(`${count} cut answers`);
  t.deepEqual(faults.slice(0, 10), [], `${faults.length} faults`);
});

// Guards against the same by silence: the call ends in time and has no whole answer.
test("an answer that stops for good after any byte ends in time", async (t) => {
  const { Silence } = cutAnswerFixture.CutEnding;
  const cuts = cutAnswerFixture.cutAnswers([Silence]);
  const { count, faults } = await callAll(t, cuts, SILENCE_MILLISECONDS);
  t.log(`${count} cut answers`);
  t.deepEqual(faults.slice(0, 10), [], `${faults.length} faults`);
});
