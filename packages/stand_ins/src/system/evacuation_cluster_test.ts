import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as util from "node:util";
import * as ava from "ava";
import * as undici from "undici";
import type * as cluster from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;
const run = util.promisify(childProcess.execFile);
const TOOL = path.resolve(
  import.meta.dirname,
  "../../../cli/bin/geraniumkeel.mjs",
);

/** More requests than the state dump shows choices. */
const REQUESTS = 40;

/** Runs the tool at an entry; gives what it prints. */
async function runTool(
  system: cluster.Cluster,
  ...words: string[]
): Promise<string> {
  const { operators } = system.entries[0].running.urls;
  const { stdout } = await run("node", [TOOL, "--url", operators, ...words], {
    env: { ...process.env, GERANIUMKEEL_KEY: testConfiguration.OPERATOR_KEY },
  });
  return stdout;
}

/** Runners that an entry has chosen last. */
function recentChoices(entry: cluster.ClusterProcess): Set<string> {
  const state = entry.running.state() as {
    routing: { recentChoices: { runner: string }[] };
  };
  return new Set(state.routing.recentChoices.map(({ runner }) => runner));
}

// Guards against requests to runners in an evacuated data centre. rank-0 and entry-0
// are in place-a, rank-1 and entry-1 in place-b, the plain runner is in place-c.
test(
  "runners in an evacuated data centre get nothing new until the end",
  withCluster.withCluster({}, async (t, system) => {
    const running = Array.from({ length: 8 }, (_, number) =>
      system.generate({ prompt: `${number} [tokens=80]` }),
    );
    await system.until(() =>
      system.engine.group.ranks.every(({ busy }) => busy),
    );
    t.regex(
      await runTool(system, "evacuate", "place-a"),
      /in force everywhere/,
    );
    for (let number = 0; number < REQUESTS; number++) {
      const prompt = `after ${number} [tokens=2]`;
      t.is((await system.generate({ prompt })).status, 200);
    }
    t.deepEqual(recentChoices(system.entries[0]), new Set(["rank-1"]));
    for (const { status, body } of await Promise.all(running)) {
      t.is(status, 200);
      t.true(body.endsWith("data: [DONE]\n\n"));
    }
    t.regex(await runTool(system, "evacuations"), /place-a +\S+Z +2 of 2 +-/);
    await runTool(system, "evacuate", "place-a", "--end");
    let sent = 0;
    await system.until(async () => {
      await system.generate({ prompt: `back ${sent++} [tokens=2]` });
      return recentChoices(system.entries[0]).has("rank-0");
    });
    t.is((await runTool(system, "evacuations")).split("\n").length, 2);
  }),
);

test(
  "a service all of whose runners are evacuated refuses at once as not run",
  withCluster.withCluster({}, async (t, system) => {
    t.is((await system.call({ path: "/confirm", call: "1" })).status, 200);
    await runTool(system, "evacuate", "place-c");
    const refused = await system.call({ path: "/confirm", call: "2" });
    t.is(refused.status, 503);
    t.is((JSON.parse(refused.body) as { outcome: string }).outcome, "not-run");
    t.truthy(refused.headers["retry-after"]);
    await runTool(system, "evacuate", "place-c", "--end");
    t.is((await system.call({ path: "/confirm", call: "3" })).status, 200);
  }),
);

test(
  "callers are given the entries outside an evacuated data centre",
  withCluster.withCluster({}, async (t, system) => {
    await runTool(system, "evacuate", "place-a");
    const key = testConfiguration.accountKey("counter");
    const answer = await undici.request(`${system.callerUrl()}/v1/entries`, {
      headers: { authorization: `Bearer ${key}` },
    });
    const list = (await answer.body.json()) as { entries: { place: string }[] };
    t.deepEqual(
      list.entries.map(({ place }) => place),
      ["place-b"],
    );
  }),
);

// Guards against a configuration that cannot be read: it is of before evacuations.
test(
  "a document without the list, as all were, evacuates nothing",
  withCluster.withCluster({ entries: 1 }, async (t, system) => {
    const read = await system.operate("GET", "/admin/v1/configuration");
    const { document } = read.body as { document: { evacuations: string[] } };
    t.deepEqual(document.evacuations, []);
    const listed = await system.operate("GET", "/admin/v1/evacuations");
    t.deepEqual(listed.body, [] as never);
  }),
);
