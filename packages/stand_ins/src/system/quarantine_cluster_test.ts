import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as cluster from "../testing/cluster.ts";
import * as endingMark from "../ending_mark.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

const SHAPE = { entries: 3, ranks: 4, plainRunners: 1 };
/** Ends after which a request may be sent to runners a few times more. */
const ENDS_ALLOWED = 3;
const KNOWN_MILLISECONDS = 3_000;
const SENDS_ALLOWED = 3;
const TRY_MILLISECONDS = 200;

interface Told {
  status: number;
  outcome?: string;
  reason?: string;
}

/** Sends a prompt; status 0 for an answer that broke off. */
async function send(
  system: cluster.Cluster,
  entry: number,
  prompt: string,
  account = "counter",
): Promise<Told> {
  try {
    const answer = await system.generate({
      prompt,
      entry: entry % 3,
      account,
    });
    const { status, body } = answer;
    if (status === 200) return { status };
    return { ...(JSON.parse(body) as Told), status };
  } catch {
    return { status: 0 };
  }
}

/** Ends of engines under a prompt; each adds one start of the request. */
function endsUnder({ engine }: cluster.Cluster, prompt: string): number {
  const all = engine.group.ranks.flatMap(({ ends }) => ends);
  const isUnder = (one: string) => one.includes(prompt);
  return all.filter(({ prompts }) => prompts.some(isUnder)).length;
}

async function provoke(
  system: cluster.Cluster,
  prompt: string,
): Promise<Told[]> {
  const told: Told[] = [];
  const held = async () => {
    const lists = await Promise.all(
      [0, 1, 2].map((entry) =>
        system.operate("GET", "/admin/v1/quarantine", undefined, entry),
      ),
    );
    return lists.every(({ body }) => (body as unknown as []).length > 0);
  };
  await system.until(async () => {
    if (await held()) return true;
    told.push(await send(system, told.length, prompt));
    await common.sleep(TRY_MILLISECONDS);
    return false;
  });
  return told;
}

// The product's own data path: the same request ends one engine after the other.
test(
  "a request under which engines ended is soon sent to no more",
  withCluster.withCluster(SHAPE, async (t, system) => {
    const prompt = `bad ${endingMark.endingMark(30)} [tokens=500]`;
    let sent = 0;
    const comeAgain = (over: () => boolean) =>
      system.until(async () => {
        if (over()) return true;
        await send(system, sent++, prompt);
        await common.sleep(TRY_MILLISECONDS);
        return false;
      });
    await comeAgain(() => endsUnder(system, prompt) >= ENDS_ALLOWED);
    const knownAt = common.now() + KNOWN_MILLISECONDS;
    await comeAgain(() => common.now() > knownAt);
    const before = endsUnder(system, prompt);
    await comeAgain(() => common.now() > knownAt + KNOWN_MILLISECONDS);
    t.true(endsUnder(system, prompt) - before <= SENDS_ALLOWED);
    t.true(before <= ENDS_ALLOWED + 1, `${before} ends`);
  }),
);

test(
  "a held request is refused as not run; others go on",
  withCluster.withCluster(SHAPE, async (t, system) => {
    const prompt = `held ${endingMark.endingMark(30)} [tokens=500]`;
    const told = await provoke(system, prompt);
    t.true(told.every(({ status }) => status !== 200));
    for (const entry of [0, 1, 2]) {
      const { status, outcome, reason } = await send(system, entry, prompt);
      t.deepEqual([status, outcome, reason], [503, "not-run", "quarantined"]);
    }
    await system.until(async () => {
      const { status } = await send(system, 0, "another");
      return status === 200;
    });
    const { reason } = await send(system, 0, prompt, "driver");
    t.not(reason, "quarantined");
  }),
);

// A keyed call that may not be repeated: each key stands for one run.
test(
  "a call under which its service ended is held, under any key",
  withCluster.withCluster(SHAPE, async (t, system) => {
    const body = JSON.stringify({ mark: endingMark.endingMark(10) });
    const call = async (number: number) => {
      const answer = await system.call({
        path: "/confirm",
        call: `bad-${number}`,
        key: `key-${number}`,
        entry: number % 3,
        body,
      });
      return JSON.parse(answer.body) as Told;
    };
    const reasons: (string | undefined)[] = [];
    await system.until(async () => {
      if (reasons.at(-1) === "quarantined") return true;
      reasons.push((await call(reasons.length)).reason);
      await common.sleep(TRY_MILLISECONDS);
      return false;
    });
    t.is(system.plain.ends, ENDS_ALLOWED);
    for (const count of system.plain.calls.values()) t.is(count, 1);
  }),
);

// A body that is passed on in pieces is known only when the last of them has passed.
test(
  "a long body that ends its service is held too",
  withCluster.withCluster(SHAPE, async (t, system) => {
    const body = endingMark.endingMark(10).padEnd(600_000, "x");
    const call = async (number: number, text = body) => {
      const answer = await system.call({
        path: "/query",
        call: `long-${number}`,
        entry: number % 3,
        body: text,
      });
      return JSON.parse(answer.body) as Told;
    };
    let number = 0;
    await system.until(async () => {
      if ((await call(number++)).reason === "quarantined") return true;
      t.true(system.plain.ends <= ENDS_ALLOWED + 1);
      await common.sleep(TRY_MILLISECONDS);
      return false;
    });
    const other = await call(number, `${body.slice(0, -1)}y`);
    t.not(other.reason, "quarantined");
  }),
);
