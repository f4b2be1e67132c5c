import * as ava from "ava";
import * as cluster from "./testing/cluster.ts";
import * as sequence from "./sequence.ts";

const test = ava.default;

/** Text that the engine stand-in gives to a chat with one user message. */
function expected(prompt: string): string {
  const rendered = `<|user|>${prompt}\n<|assistant|>`;
  const length = sequence.answerLength(rendered);
  return Array.from({ length }, (_, index) =>
    sequence.tokenText(rendered, index),
  ).join("");
}

test("a chat completion is answered whole, streamed and not", async (t) => {
  const system = await cluster.Cluster.start();
  try {
    const prompt = "where is my dry ice? [tokens=20]";
    const streamed = await system.generate({ prompt });
    t.is(streamed.status, 200);
    t.is(streamed.text, expected(prompt));
    t.true(streamed.body.endsWith("data: [DONE]\n\n"));
    const whole = await system.generate({ prompt, entry: 1, stream: false });
    t.is(whole.text, expected(prompt));
  } finally {
    await system.close();
  }
});

test("a plain call is passed on and its answer returned", async (t) => {
  const system = await cluster.Cluster.start();
  try {
    const answer = await system.call({ path: "/confirm/1?x=2", call: "one" });
    t.is(answer.status, 200);
    t.is((JSON.parse(answer.body) as { url: string }).url, "/confirm/1?x=2");
    t.is(system.plain.calls.get("one"), 1);
  } finally {
    await system.close();
  }
});
