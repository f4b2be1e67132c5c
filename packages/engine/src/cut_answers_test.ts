import * as net from "node:net";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as cutAnswerFixture from "@geraniumkeel/common/cut_answer_fixture";
import * as engine from "./engine.ts";
import * as httpEngine from "./http_engine.ts";
import * as plainService from "./plain_service.ts";

const test = ava.default;

const AT_ONCE = 16;
const PROGRESS_MILLISECONDS = 1_000;
const SILENCE_MILLISECONDS = 300;
const LATE_MILLISECONDS = 1_500;

const { End, LateEnd, Reset, Silence } = cutAnswerFixture.CutEnding;

interface BackEnd {
  engine: httpEngine.HttpEngine;
  service: plainService.HttpPlainService;
  /** What the next connection is answered with. */
  given: cutAnswerFixture.CutAnswer | undefined;
  /** Requests since the call began; undici may open a connection more ahead. */
  requests: number;
}

/** A back end of its own for each worker, as a connection does not tell its call. */
async function startBackEnds(
  t: ava.ExecutionContext,
  progressTimeoutMilliseconds: number,
): Promise<BackEnd[]> {
  const backEnds: BackEnd[] = [];
  for (let worker = 0; worker < AT_ONCE; worker++) {
    const sockets = new Set<net.Socket>();
    const server = net.createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
      socket.once("data", () => {
        backEnd.requests++;
        if (backEnd.given) void cutAnswerFixture.sendCut(socket, backEnd.given);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    const { port } = server.address() as net.AddressInfo;
    const origin = `http://127.0.0.1:${port}`;
    const parameters = { progressTimeoutMilliseconds };
    const backEnd: BackEnd = {
      engine: new httpEngine.HttpEngine(origin, parameters),
      service: new plainService.HttpPlainService(origin, parameters),
      given: undefined,
      requests: 0,
    };
    backEnds.push(backEnd);
    t.teardown(async () => {
      await backEnd.engine.close();
      await backEnd.service.close();
      server.close();
      for (const socket of sockets) socket.destroy();
    });
  }
  return backEnds;
}

/** What a call came to: a whole body, or why there is none. */
type Outcome =
  { kind: "whole"; body: string } | { kind: "broken" } | { kind: "not-sent" };

async function callService(
  service: plainService.HttpPlainService,
  milliseconds: number,
): Promise<Outcome> {
  const call = {
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.from("q"),
  };
  const answer = await service.call(call, AbortSignal.timeout(milliseconds));
  if (answer.isErr())
    return { kind: answer.error.sent ? "broken" : "not-sent" };
  try {
    const pieces: Uint8Array[] = [];
    for await (const piece of answer.value.body) pieces.push(piece);
    return { kind: "whole", body: Buffer.concat(pieces).toString() };
  } catch {
    return { kind: "broken" };
  }
}

async function callAll(
  t: ava.ExecutionContext,
  parameters: {
    cuts: Iterable<cutAnswerFixture.CutAnswer>;
    milliseconds: number;
    call: (backEnd: BackEnd) => Promise<Outcome>;
    mayLookWhole?: (cut: cutAnswerFixture.CutAnswer) => boolean;
  },
): Promise<{ count: number; faults: string[] }> {
  const { cuts, milliseconds, call } = parameters;
  const { mayLookWhole = cutAnswerFixture.mayLookWhole } = parameters;
  const faults: string[] = [];
  const backEnds = await startBackEnds(t, milliseconds);
  const count = await cutAnswerFixture.forEachAtOnce(
    cuts,
    AT_ONCE,
    async (cut, worker) => {
      const backEnd = backEnds[worker];
      backEnd.given = cut;
      backEnd.requests = 0;
      const startedAt = common.now();
      const outcome = await call(backEnd);
      const took = common.now() - startedAt;
      const note = (what: string) =>
        faults.push(`${what}: ${cutAnswerFixture.describeCut(cut)}`);
      if (outcome.kind === "whole" && !mayLookWhole(cut))
        note(`taken for whole, with ${JSON.stringify(outcome.body)}`);
      if (outcome.kind !== "whole" && cutAnswerFixture.mustLookWhole(cut))
        note("refused");
      if (outcome.kind === "not-sent") note("called not sent");
      if (backEnd.requests !== 1) note(`sent ${backEnd.requests} times`);
      if (took > milliseconds + LATE_MILLISECONDS) note(`took ${took} ms`);
    },
  );
  return { count, faults };
}

// Guards against a service that stops in its answer's head, or in its body, and whose
// caller gets a whole answer with an empty or short body, or a second run.
test("a service's answer that ends after any byte is not whole", async (t) => {
  const { count, faults } = await callAll(t, {
    cuts: cutAnswerFixture.cutAnswers([End, LateEnd, Reset]),
    milliseconds: PROGRESS_MILLISECONDS,
    call: ({ service }) => callService(service, PROGRESS_MILLISECONDS),
  });
  t.log(`${count} cut answers`);
  t.deepEqual(faults.slice(0, 10), [], `${faults.length} faults`);
});

// Guards against the same by silence: the call ends in time and has no whole answer.
test("a service's answer that stops for good ends in time", async (t) => {
  const cuts = cutAnswerFixture.cutAnswers([Silence]);
  const { count, faults } = await callAll(t, {
    cuts,
    milliseconds: SILENCE_MILLISECONDS,
    call: ({ service }) => callService(service, SILENCE_MILLISECONDS),
  });
  t.log(`${count} cut answers`);
  t.deepEqual(faults.slice(0, 10), [], `${faults.length} faults`);
});

const FINISH = `${JSON.stringify({
  kind: engine.EngineItemKind.Finish,
  reason: "stop",
  promptTokens: 1,
})}\n`;
const TOKEN = { kind: engine.EngineItemKind.Token, index: 0, text: "t" };
const STREAM = `${JSON.stringify(TOKEN)}\n${FINISH}`;

async function lastOf(
  items: AsyncGenerator<engine.EngineItem, void, void>,
): Promise<Outcome> {
  let last: engine.EngineItem | undefined;
  for await (const item of items) last = item;
  switch (last?.kind) {
    case engine.EngineItemKind.Finish:
      return { kind: "whole", body: last.reason };
    case engine.EngineItemKind.NotStarted:
      return { kind: "not-sent" };
    default:
      return { kind: "broken" };
  }
}

// Guards against an engine that stops in a stream, whose tokens so far pass for all of
// them, or whose generation is called not started and runs again.
test("an engine's stream that ends after any byte is not finished", async (t) => {
  const cuts = cutAnswerFixture.cutAnswers([End, Reset], STREAM);
  const sampled = [...cuts].filter((_cut, index) => index % 5 === 0);
  for (const resumed of [false, true]) {
    const { count, faults } = await callAll(t, {
      cuts: sampled,
      milliseconds: PROGRESS_MILLISECONDS,
      call: ({ engine: client }) => {
        const signal = AbortSignal.timeout(PROGRESS_MILLISECONDS);
        const work = { prompt: "p", maximumTokens: 1, urgency: 1, options: {} };
        return lastOf(
          resumed
            ? client.resume("g", 0, signal)
            : client.generate({ ...work, identifier: "g" }, signal),
        );
      },
      mayLookWhole: ({ text, place }) => text.slice(0, place).includes(FINISH),
    });
    t.log(`${count} cut answers`);
    // What comes behind the finish, such as the last chunk, is not waited for.
    const refused = faults.filter((fault) => !fault.startsWith("refused"));
    t.deepEqual(refused.slice(0, 10), [], `${refused.length} faults`);
  }
});
