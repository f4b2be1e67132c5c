import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as undici from "undici";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

test(
  "a preset is in force everywhere when the operator's call returns",
  withCluster.withCluster({ entries: 3 }, async (t, system) => {
    const answer = await system.usePreset("peak", 1);
    t.is(answer.status, 200);
    t.true(answer.body.everywhere);
    for (const { running } of system.entries) {
      const state = running.state() as {
        configuration: { presetInForce: string };
      };
      t.is(state.configuration.presetInForce, "peak");
    }
  }),
);

test(
  "of two operators who race one is told the winner's revision",
  withCluster.withCluster({}, async (t, system) => {
    const use = (preset: string, entry: number) =>
      system.operate(
        "PUT",
        "/admin/v1/preset-in-force",
        { baseRevision: 1, preset },
        entry,
      );
    const answers = await Promise.all([use("peak", 0), use("maintenance", 1)]);
    const statuses = answers.map(({ status }) => status).sort();
    t.deepEqual(statuses, [200, 409]);
    const loser = answers.find(({ status }) => status === 409);
    t.regex(String(loser?.body.detail), /revision 2 is in force/);
  }),
);

test(
  "maintenance refuses new work as not run and lets running work finish",
  withCluster.withCluster({}, async (t, system) => {
    const running = system.generate({ prompt: "long [tokens=150]" });
    await system.until(() => system.engine.group.ranks.some((r) => r.busy));
    await system.usePreset("maintenance");
    const refused = await system.generate({ prompt: "late", entry: 1 });
    t.is(refused.status, 503);
    t.is((JSON.parse(refused.body) as { outcome: string }).outcome, "not-run");
    const answer = await running;
    t.true(answer.body.endsWith("data: [DONE]\n\n"));
    await system.usePreset("ordinary");
    t.is((await system.generate({ prompt: "back" })).status, 200);
  }),
);

test(
  "operators without the right key are refused",
  withCluster.withCluster({ entries: 1 }, async (t, system) => {
    const base = system.entries[0].running.urls.operators;
    for (const key of [undefined, "wrong", testConfiguration.PROCESS_KEY]) {
      const answer = await undici.request(`${base}/admin/v1/state`, {
        headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
      });
      await answer.body.dump();
      t.is(answer.statusCode, 401);
    }
  }),
);

test(
  "a bad configuration is refused with every problem named",
  withCluster.withCluster({ entries: 1 }, async (t, system) => {
    const document = testConfiguration.testConfiguration({
      presetInForce: "no-such",
      accounts: [
        {
          name: "Bad Name",
          keyHash: "x",
          requestsPerSecond: -1,
          tokensPerSecond: 5,
        },
      ],
    });
    const answer = await system.operate("PUT", "/admin/v1/configuration", {
      baseRevision: 1,
      document,
    });
    t.is(answer.status, 400);
    const detail = String(answer.body.detail);
    for (const path of ["name", "keyHash", "requestsPerSecond"]) {
      t.true(detail.includes(`accounts.0.${path}`), detail);
    }
  }),
);

test(
  "a state dump of any process can be had at any entry",
  withCluster.withCluster({}, async (t, system) => {
    for (const { name } of [...system.entries, ...system.upstreams]) {
      const path = `/admin/v1/state?host=${name}`;
      const answer = await system.operate("GET", path);
      t.is(answer.status, 200);
      t.is(answer.body.host, name);
    }
    const missing = await system.operate("GET", "/admin/v1/state?host=none");
    t.is(missing.status, 404);
  }),
);

test(
  "a drained upstream gets no new work and finishes what it has",
  withCluster.withCluster({}, async (t, system) => {
    const [, leaving] = system.upstreams;
    const answers = Array.from({ length: 8 }, (_, index) =>
      system.generate({ prompt: `${index} [tokens=60]` }),
    );
    await system.until(() => leaving.running.unfinished() > 0);
    await system.operate("POST", "/admin/v1/drain", { host: leaving.name });
    const state = () =>
      leaving.running.state() as {
        leaving: boolean;
        attempts: { started: number };
      };
    await system.until(() => state().leaving);
    const before = state().attempts.started;
    const later = await Promise.all(
      Array.from({ length: 8 }, (_, index) =>
        system.generate({ prompt: `later ${index}`, entry: index % 2 }),
      ),
    );
    const all = [...(await Promise.all(answers)), ...later];
    t.true(all.every(({ body }) => body.endsWith("data: [DONE]\n\n")));
    t.is(state().attempts.started, before);
  }),
);

test(
  "a drained entry leaves the list at once and still answers for a while",
  withCluster.withCluster({ entries: 3 }, async (t, system) => {
    const [first, second] = system.entries;
    const listed = async () => {
      const answer = await undici.request(
        `${first.running.urls.callers}/v1/entries`,
        {
          headers: {
            authorization: `Bearer ${testConfiguration.accountKey("driver")}`,
          },
        },
      );
      const { entries } = (await answer.body.json()) as {
        entries: { url: string }[];
      };
      return entries.map(({ url }) => url);
    };
    t.is((await listed()).length, 3);
    const drained = second.running.drain();
    await system.until(
      async () => !(await listed()).includes(second.running.urls.callers),
    );
    t.is((await system.generate({ prompt: "still", entry: 1 })).status, 200);
    await drained;
    t.is((await system.generate({ prompt: "late", entry: 1 })).status, 503);
    t.true(
      second.logger.events.some(
        ({ code }) => code === common.EventCode.DrainFinished,
      ),
    );
  }),
);
