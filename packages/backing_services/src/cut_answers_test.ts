import * as ava from "ava";
import * as cutAnswerFixture from "@geraniumkeel/common/cut_answer_fixture";
import * as httpCallFixture from "@geraniumkeel/common/http_call_fixture";
import * as httpClient from "./http_client.ts";

const test = ava.default;

const AT_ONCE = 16;
const TIMEOUT_MILLISECONDS = 1_000;
const SILENCE_MILLISECONDS = 100;

async function callAll(
  t: ava.ExecutionContext,
  cuts: Iterable<cutAnswerFixture.CutAnswer>,
  timeoutMilliseconds: number,
): Promise<{ count: number; faults: string[] }> {
  const faults: string[] = [];
  const given: cutAnswerFixture.CutAnswer[] = [];
  const requests: number[] = [];
  const clients: httpClient.HttpClient[] = [];
  for (let worker = 0; worker < AT_ONCE; worker++) {
    const farEnd = new httpCallFixture.FarEnd((socket) => {
      requests[worker]++;
      void cutAnswerFixture.sendCut(socket, given[worker]);
    });
    const origin = `http://127.0.0.1:${await farEnd.listen()}`;
    const client = new httpClient.HttpClient(origin, { timeoutMilliseconds });
    clients.push(client);
    t.teardown(async () => {
      await client.close();
      farEnd.close();
    });
  }
  const count = await cutAnswerFixture.forEachAtOnce(
    cuts,
    AT_ONCE,
    async (cut, worker) => {
      given[worker] = cut;
      requests[worker] = 0;
      const answer = await clients[worker].request("POST", "/", {});
      const note = (what: string) =>
        faults.push(`${what}: ${cutAnswerFixture.describeCut(cut)}`);
      if (answer.isOk() && !cutAnswerFixture.mayLookWhole(cut))
        note(`taken for whole, with ${JSON.stringify(answer.value.body)}`);
      if (answer.isErr()) {
        if (cutAnswerFixture.mustLookWhole(cut)) note("refused");
        const { kind } = answer.error;
        if (kind !== httpClient.RequestFailureKind.Unanswered) note(kind);
      }
      if (requests[worker] !== 1) note(`sent ${requests[worker]} times`);
    },
  );
  return { count, faults };
}

// Guards against a store that stops in an answer and whose half answer is taken for its
// answer, such as an empty one for "no row", or a write that counts as not sent.
test("an answer of the store that ends after any byte is not whole", async (t) => {
  const { End, LateEnd, Reset } = cutAnswerFixture.CutEnding;
  const cuts = cutAnswerFixture.cutAnswers([End, LateEnd, Reset]);
  const { count, faults } = await callAll(t, cuts, TIMEOUT_MILLISECONDS);
  t.log(`${count} cut answers`);
  t.deepEqual(faults.slice(0, 10), [], `${faults.length} faults`);
});

// Guards against the same by silence.
test("an answer of the store that stops for good is not whole", async (t) => {
  const { Silence } = cutAnswerFixture.CutEnding;
  const cuts = cutAnswerFixture.cutAnswers([Silence]);
  const { count, faults } = await callAll(t, cuts, SILENCE_MILLISECONDS);
  t.log(`${count} cut answers`);
  t.deepEqual(faults.slice(0, 10), [], `${faults.length} faults`);
});
