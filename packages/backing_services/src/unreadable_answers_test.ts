import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as httpCallFixture from "@geraniumkeel/common/http_call_fixture";
import * as hostList from "./host_list.ts";
import * as httpClient from "./http_client.ts";
import * as httpTable from "./http_table.ts";
import * as objectStore from "./object_store.ts";
import * as table from "./table.ts";

const test = ava.default;

const DEEP = "[".repeat(100_000) + "]".repeat(100_000);
/** Bodies that are no answer of any backing service. */
const UNREADABLE = ["", "{", "null", "7", "{}", "[null]", "[{}]", DEEP];

/** A client of a far end that answers with `given`. */
async function start(t: ava.ExecutionContext): Promise<{
  client: httpClient.HttpClient;
  given: { status: number; body: string };
}> {
  const given = { status: 200, body: "" };
  const farEnd = new httpCallFixture.FarEnd((socket) => {
    const head = `HTTP/1.1 ${given.status} X\r\nContent-Length: ${given.body.length}`;
    socket.end(`${head}\r\n\r\n${given.body}`);
  });
  const origin = `http://127.0.0.1:${await farEnd.listen()}`;
  const client = new httpClient.HttpClient(origin, {
    timeoutMilliseconds: 1_000,
  });
  t.teardown(async () => {
    await client.close();
    farEnd.close();
  });
  return { client, given };
}

const TRANSACTION: table.Transaction = {
  conditions: [],
  writes: [table.putRow("k", "v")],
};

// Guards against an answer of the table of another shape that ends the task that reads, or
// passes for "no row", "no rows" or a definite outcome of a write.
test("answers of the table that can't be read say nothing", async (t) => {
  const { client, given } = await start(t);
  const service = new httpTable.HttpTableService(
    client,
    new common.RecordingLogger(),
  );
  const bodies = [...UNREADABLE, '{"key":"k","revision":"1","value":"v"}'];
  for (const body of bodies) {
    Object.assign(given, { status: 200, body });
    t.true((await service.get("k")).isErr(), body.slice(0, 40));
    const range = { from: "a", to: "z", limit: 9 };
    t.true((await service.range(range)).isErr(), body.slice(0, 40));
    for (const status of [200, 409]) {
      given.status = status;
      const outcome = await service.transact(TRANSACTION);
      t.is(outcome.kind, table.OutcomeKind.Unknown, body.slice(0, 40));
    }
  }
  Object.assign(given, { status: 200, body: '{"revisions":{"other":1}}' });
  const outcome = await service.transact(TRANSACTION);
  t.is(outcome.kind, table.OutcomeKind.Unknown);
});

// Guards against an object of another shape, by which a coordinator's task would end.
test("answers of the object store that can't be read are failures", async (t) => {
  const { client, given } = await start(t);
  const store = new objectStore.HttpObjectStore(client);
  for (const body of [...UNREADABLE, '{"body":7}']) {
    given.body = body;
    t.true((await store.get("o")).isErr(), body.slice(0, 40));
  }
});

const HOST = {
  name: "h",
  role: hostList.HostRole.Upstream,
  place: "p",
  region: "r",
  state: hostList.HostState.Live,
  linkUrl: "http://h",
  callerUrl: "",
  service: "s",
  group: "",
};

// Guards against a host list of another shape that ends the task by which an entry follows
// it, and against one odd host that hides the others or is itself taken for gone.
test("a host that can't be read stays as it was, and costs no other", async (t) => {
  const { client, given } = await start(t);
  const list = new hostList.HttpHostList(client);
  const read = async (hosts: unknown) => {
    given.body = JSON.stringify(hosts);
    const answer = await list.read();
    if (answer.isErr() || !answer.value.changed) return undefined;
    const { hosts: found, unreadable } = answer.value;
    return [found, unreadable.map(({ key }) => key)];
  };
  for (const body of UNREADABLE.filter((one) => !one.startsWith("["))) {
    given.body = body;
    t.true((await list.read()).isErr(), body);
  }
  const other = { ...HOST, name: "other" };
  t.deepEqual(await read([HOST]), [[HOST], []]);
  for (const odd of [
    { name: "h" },
    { ...HOST, state: "gone" },
    { ...HOST, linkUrl: 7 },
  ])
    t.deepEqual(await read([odd, other, null]), [
      [HOST, other],
      ["h", "host 2"],
    ]);
  t.deepEqual(await read([{ ...HOST, name: "new", role: 7 }, other]), [
    [other],
    ["new"],
  ]);
});
