import * as ava from "ava";
import * as openai from "openai";
import * as undici from "undici";
import * as caller from "../load/caller.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

function rendered(prompt: string): string {
  return `<|user|>${prompt}\n<|assistant|>`;
}

test(
  "a chat completion is answered whole, streamed and not",
  withCluster.withCluster({}, async (t, system) => {
    const prompt = "where is my dry ice? [tokens=20]";
    const streamed = await system.generate({ prompt });
    t.is(streamed.status, 200);
    t.is(streamed.text, caller.expectedText(rendered(prompt)));
    t.true(streamed.body.endsWith("data: [DONE]\n\n"));
    const whole = await system.generate({ prompt, entry: 1, stream: false });
    t.is(whole.text, caller.expectedText(rendered(prompt)));
  }),
);

test(
  "an OpenAI client library talks to it unchanged",
  withCluster.withCluster({}, async (t, system) => {
    const client = new openai.OpenAI({
      baseURL: `${system.callerUrl()}/v1`,
      apiKey: testConfiguration.accountKey("driver"),
      maxRetries: 0,
    });
    const prompt = "translate the route note [tokens=12]";
    const messages = [{ role: "user" as const, content: prompt }];
    const model = "model";
    const whole = await client.chat.completions.create({ model, messages });
    t.is(
      whole.choices[0].message.content,
      caller.expectedText(rendered(prompt)),
    );
    t.is(whole.usage?.completion_tokens, 12);
    const stream = await client.chat.completions.create({
      model,
      messages,
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = "";
    let usage = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? "";
      usage = chunk.usage?.completion_tokens ?? usage;
    }
    t.is(text, caller.expectedText(rendered(prompt)));
    t.is(usage, 12);
    const completion = await client.completions.create({
      model,
      prompt: "plain prompt [tokens=9]",
      max_tokens: 5,
    });
    t.is(completion.choices[0].finish_reason, "length");
    t.is(completion.usage?.completion_tokens, 5);
    const models = await client.models.list();
    t.deepEqual(
      models.data.map(({ id }) => id),
      ["model"],
    );
  }),
);

test(
  "an OpenAI client reads refusals with their outcome",
  withCluster.withCluster({}, async (t, system) => {
    const client = new openai.OpenAI({
      baseURL: `${system.callerUrl()}/v1`,
      apiKey: testConfiguration.accountKey("driver"),
      maxRetries: 0,
    });
    const error = await t.throwsAsync(
      client.chat.completions.create({
        model: "no-such-model",
        messages: [{ role: "user", content: "?" }],
      }),
      { instanceOf: openai.NotFoundError },
    );
    t.is(error.code, "not-run");
  }),
);

test(
  "bad bodies, huge bodies and wrong keys each get their clear error",
  withCluster.withCluster({ entries: 1 }, async (t, system) => {
    const url = `${system.callerUrl()}/v1/chat/completions`;
    const key = testConfiguration.accountKey("counter");
    const send = async (
      body: string,
      authorization = `Bearer ${key}`,
      headers: Record<string, string> = {},
    ) => {
      const answer = await undici.request(url, {
        method: "POST",
        headers: { authorization, ...headers },
        body,
      });
      const told = (await answer.body.json()) as Record<string, string>;
      t.is(told.outcome, "not-run");
      return { status: answer.statusCode, ...told } as {
        status: number;
        reason: string;
        detail: string;
      };
    };
    const valid = JSON.stringify({
      model: "model",
      messages: [{ role: "user", content: "hello" }],
    });
    const wrongKey = await send(valid, "Bearer wrong");
    t.is(wrongKey.status, 401);
    t.is((await send(valid, "Basic abc")).status, 401);
    const notJson = await send("{");
    t.is(notJson.status, 400);
    t.regex(notJson.detail, /write valid JSON/);
    const several = await send(
      JSON.stringify({ model: 7, messages: [], max_tokens: 0, n: 3 }),
    );
    t.is(several.status, 400);
    for (const path of ["model", "messages", "max_tokens", "n"]) {
      t.true(several.detail.includes(`${path}: found`), path);
    }
    const tools = await send(
      JSON.stringify({ ...(JSON.parse(valid) as object), tools: [] }),
    );
    t.regex(tools.detail, /leave tools out/);
    const huge = await send("x".repeat(5 * 1024 * 1024)).catch(() => undefined);
    if (huge) t.is(huge.status, 413);
    const deadline = await send(valid, `Bearer ${key}`, {
      "request-timeout-milliseconds": "soon",
    });
    t.regex(deadline.detail, /request-timeout-milliseconds/);
  }),
);

test(
  "a whole answer can be had from a slow reader's connection too",
  withCluster.withCluster({ entries: 1 }, async (t, system) => {
    const prompt = "long one [tokens=400]";
    const answer = await undici.request(
      `${system.callerUrl()}/v1/chat/completions`,
      {
        method: "POST",
        headers: {
          authorization: `Bearer ${testConfiguration.accountKey("counter")}`,
        },
        body: JSON.stringify({
          model: "model",
          stream: true,
          messages: [{ role: "user", content: prompt }],
        }),
        highWaterMark: 1_024,
      },
    );
    let body = "";
    for await (const chunk of answer.body) body += String(chunk);
    t.true(body.endsWith("data: [DONE]\n\n"));
    t.true(body.includes(".399 "));
  }),
);
