import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as configurationHolder from "@geraniumkeel/daemon/configuration/configuration_holder";
import * as configurationStore from "@geraniumkeel/daemon/configuration/configuration_store";
import * as tableService from "../gateways/table_service.ts";
import * as tableData from "../table_data.ts";
import type * as cluster from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

const HEAD_KEY = "configuration/head";
const HEAD = { revision: 9, nonce: "n", presetInForce: "p", sections: {} };
/** Values that another writer may leave in the row of the head. */
const UNREADABLE_HEADS = [
  "",
  "{",
  "null",
  "7",
  "{}",
  JSON.stringify({ ...HEAD, revision: "9" }),
  JSON.stringify({ ...HEAD, revision: 1e300 }),
  JSON.stringify({ ...HEAD, sections: null }),
  JSON.stringify({ ...HEAD, sections: { operators: "9" } }),
  JSON.stringify({ ...HEAD, replaced: 7 }),
];
/** Texts that another writer may leave in the row of a section. */
const UNREADABLE_SECTIONS = ["", "{", "null", "7", "{}", "[null]", "[{}]"];

function unreadableRows(told: string[]): common.UnreadableRows {
  return new common.UnreadableRows({
    table: "configuration",
    metrics: common.discardMetrics(),
    log: (key) => told.push(key),
  });
}

function put(data: tableData.TableData, key: string, value: string): void {
  data.transact({
    conditions: [],
    writes: [backingServices.putRow(key, value)],
  });
}

const DOCUMENT = configuration.DOCUMENT.parse(
  testConfiguration.testConfiguration(),
);

// Guards against one odd row that ends the task by which each entry follows the
// configuration, or passes for a head without sections.
test("a head that can't be read is told as such, and not taken for none", async (t) => {
  for (const value of UNREADABLE_HEADS) {
    const data = new tableData.TableData();
    const told: string[] = [];
    const store = new configurationStore.ConfigurationStore({
      table: tableService.createTable(data),
      random: new common.Random(1),
      timeoutMilliseconds: 100,
      unreadable: unreadableRows(told),
    });
    put(data, HEAD_KEY, value);
    const read = await store.readHead();
    t.is(read.isErr() && read.error.kind, "unreadable-head", value);
    const outcome = await store.commit({
      base: undefined,
      baseTexts: {},
      document: DOCUMENT,
      inForce: 0,
    });
    t.is(outcome.kind, "given-up", value);
    t.is(data.get(HEAD_KEY)?.value, value);
    t.deepEqual(told, [HEAD_KEY]);
  }
});

// Guards against a section of another shape that ends what adopts it, or comes into force.
test("a section that can't be read leaves the last configuration in force", (t) => {
  const texts = configuration.splitDocument(DOCUMENT);
  const adoptAt = (
    holder: configurationHolder.ConfigurationHolder,
    revision: number,
    change: configuration.Sections,
  ) => {
    const sections = Object.fromEntries(
      Object.keys(texts).map((name) => [name, revision]),
    );
    const { presetInForce } = DOCUMENT;
    const head = { revision, nonce: "", presetInForce, sections };
    const pushes = Object.entries({ ...texts, ...change }).map(
      ([name, text]) => ({ name, revision, text }),
    );
    return holder.adopt(head, pushes);
  };
  const names = ["operators", "services", "presets", "evacuations"];
  names.push(configuration.accountSection("counter"));
  for (const name of names) {
    for (const text of UNREADABLE_SECTIONS) {
      const told: string[] = [];
      const holder = new configurationHolder.ConfigurationHolder({
        logger: new common.RecordingLogger(),
        history: { record: () => {} },
        host: "e",
        unreadable: unreadableRows(told),
      });
      adoptAt(holder, 1, {});
      const outcome = adoptAt(holder, 2, { [name]: text });
      t.is(outcome, configurationHolder.AdoptOutcome.Unreadable, name + text);
      t.is(holder.revision, 1);
      t.is(told.length, 1);
      t.is(adoptAt(holder, 3, {}), configurationHolder.AdoptOutcome.Adopted);
    }
  }
});

// Guards against a field of a later version by which an entry of this one would keep an
// old configuration in force.
test("a field that this version doesn't know is no reason to refuse a section", (t) => {
  const texts = configuration.splitDocument(DOCUMENT);
  const operators = DOCUMENT.operators.map((one) => ({ ...one, later: 1 }));
  const changed = { ...texts, operators: JSON.stringify(operators) };
  const { presetInForce } = DOCUMENT;
  const read = configuration.joinDocument(changed, presetInForce);
  t.is(read._unsafeUnwrap().operators.length, operators.length);
});

function revisionAt({ running }: cluster.ClusterProcess): number {
  const { configuration: held } = running.state() as {
    configuration: { revision: number };
  };
  return held.revision;
}

// Guards against entries that end, or stop to follow the configuration for good, by a row
// that was spoiled for a while.
test(
  "a spoiled head changes nothing, and the next sound one is adopted",
  withCluster.withCluster({}, async (t, system) => {
    const { table } = system.platform;
    const sound = table.get(HEAD_KEY)?.value ?? "";
    const before = revisionAt(system.entries[0]);
    put(table, HEAD_KEY, "{");
    const { reads } = table;
    await system.until(() => table.reads > reads + 6);
    const asking = { path: "/confirm", call: "work", key: "stamp-1" };
    t.is((await system.call({ ...asking, entry: 0 })).status, 200);
    const refused = await system.usePreset("peak").catch(() => undefined);
    t.not(refused?.status, 200);
    put(table, HEAD_KEY, sound);
    const changed = await system.usePreset("peak");
    t.is(changed.status, 200);
    await system.until(() =>
      system.entries.every((entry) => revisionAt(entry) > before),
    );
  }),
);
