import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import type * as traffic from "@geraniumkeel/traffic";
import * as gateways from "../gateways/gateways.ts";
import * as poolRunner from "../gateways/pool_runner.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

const NEW_HOST = "entry-new";
const PATIENCE_MILLISECONDS = 15_000;
/** Longer than an entry takes from a reason to write to its write. */
const QUIET_MILLISECONDS = 300;

async function keysOf(entries: gateways.Gateways): Promise<string[]> {
  const rows = await entries.table.range({ from: "", to: "~", limit: 100 });
  return rows._unsafeUnwrap().map(({ key }) => key);
}

async function untilKeys(
  entries: gateways.Gateways,
  holds: (keys: string[]) => boolean,
): Promise<void> {
  const deadline = common.now() + PATIENCE_MILLISECONDS;
  while (!holds(await keysOf(entries))) {
    if (common.now() > deadline) throw new Error("rows not there in time");
    await common.sleep(10);
  }
}

/** Resolves once no entry writes to the table any more. */
async function untilQuiet({ data }: gateways.Gateways): Promise<void> {
  let writes = -1;
  while (data.writes !== writes) {
    writes = data.writes;
    await common.sleep(QUIET_MILLISECONDS);
  }
}

/** A configuration without the keys of one account. */
function withoutKeys(
  configuration: traffic.TrafficConfiguration,
  account: gateways.AccountName,
): traffic.TrafficConfiguration {
  const accounts = configuration.accounts?.map((one) =>
    one.name === String(account) ? { ...one, keys: [] } : one,
  );
  return { ...configuration, version: configuration.version + 1, accounts };
}

async function untilInForce(
  entries: gateways.Gateways,
  version: number,
): Promise<void> {
  await gateways.until(() =>
    entries.running.every(
      ({ gateway }) => gateway.configuration.version === version,
    ),
  );
}

function isQuarantineRow(key: string): boolean {
  return key.startsWith("quarantine/");
}

// The copy has the configuration in which the key was good. A process that starts before
// the operator has written again would serve whoever holds the key.
test("a process that starts right after the return serves no key that was taken away", async (t) => {
  const entries = await scene.startEntries(t);
  await untilKeys(entries, (keys) => keys.includes("entry-epoch"));
  const copy = entries.data.copy();
  const former = entries.configuration;
  entries.configuration = withoutKeys(former, gateways.AccountName.Other);
  await untilInForce(entries, former.version + 1);
  entries.configuration = former;
  entries.data.comeBackFrom(copy);
  const { gateway } = await entries.startOne(NEW_HOST);
  const place = entries.running.findIndex(
    ({ gateway: one }) => one === gateway,
  );
  const account = gateways.AccountName.Other;
  const seen = await entries.send(place, "x", { account });
  t.is(seen.status, daemon.RefusalKind.UnknownKey);
  t.true(
    entries.running.every(
      ({ gateway: one }) => one.configuration.version === former.version + 1,
    ),
  );
});

test("what the operator writes after the return is in force everywhere", async (t) => {
  const entries = await scene.startEntries(t);
  const copy = entries.data.copy();
  entries.data.comeBackFrom(copy);
  const next = withoutKeys(entries.configuration, gateways.AccountName.Other);
  entries.configuration = next;
  await untilInForce(entries, next.version);
  const { data } = entries;
  await gateways.until(() => data.get("entry-epoch")?.value === "2");
  t.pass();
});

// An entry that starts while the others' rows are lost finds nobody.
test("rows of entries that the return has lost are written again", async (t) => {
  const entries = await scene.startEntries(t);
  const before = (await keysOf(entries)).filter((key) => key.includes("/"));
  entries.data.comeBackFrom({ rows: new Map(), revision: 0 });
  await untilKeys(entries, (keys) => before.every((key) => keys.includes(key)));
  t.is(before.length, entries.running.length);
});

// All entries lose power later: the request would take as many runners along again.
test("a request that is held is kept in the table again after the return", async (t) => {
  const entries = await scene.startEntries(t);
  const copy = entries.data.copy();
  await scene.provoke(entries, poolRunner.endingBody("kept"));
  await untilKeys(entries, (keys) => keys.some(isQuarantineRow));
  entries.data.comeBackFrom(copy);
  await untilKeys(entries, (keys) => keys.some(isQuarantineRow));
  t.pass();
});

// The copy has the row of before: all entries that start anew would hold it again.
test("a request that was lifted stays lifted after the return", async (t) => {
  const entries = await scene.startEntries(t);
  await scene.provoke(entries, poolRunner.endingBody("lifted"));
  await untilKeys(entries, (keys) => keys.some(isQuarantineRow));
  const copy = entries.data.copy();
  const { quarantine } = entries.running[1].gateway;
  t.true(quarantine.lift(quarantine.cases()[0].fingerprint));
  await untilKeys(entries, (keys) => !keys.some(isQuarantineRow));
  await untilQuiet(entries);
  entries.data.comeBackFrom(copy);
  await untilKeys(entries, (keys) => !keys.some(isQuarantineRow));
  t.pass();
});

// Its own process asks the table only at its start: without a word from the others it
// would not know that its row is gone.
test("an entry that does not ask the table learns of the return from the others", async (t) => {
  const entries = await scene.startEntries(t);
  entries.data.comeBackFrom(entries.data.copy());
  await gateways.until(() =>
    entries.running.every(({ logger }) =>
      logger.events.some(
        ({ code }) => code === common.EventCode.TableEpochBegan,
      ),
    ),
  );
  t.pass();
});
