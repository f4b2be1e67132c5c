import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as claimStore from "@geraniumkeel/daemon/dispatch/claim_store";
import * as tableService from "../gateways/table_service.ts";
import * as tableData from "../table_data.ts";

const test = ava.default;

const CLAIM: Omit<claimStore.Claim, "nonce"> = {
  digest: "d",
  state: claimStore.ClaimState.Claimed,
  entry: "e",
  runner: "r",
  attempt: { identifier: "i", agentIncarnation: "a", issuedAt: 1 },
  createdAt: 1,
};
const KEY = claimStore.claimKey("account", "key");

/** Values that another writer may leave in the row of a claim. */
const UNREADABLE = [
  "",
  "{",
  "null",
  "7",
  "[]",
  "{}",
  JSON.stringify({ ...CLAIM, nonce: "n", state: "other" }),
  JSON.stringify({ ...CLAIM, nonce: "n", attempt: null }),
  JSON.stringify({ ...CLAIM, nonce: "n", createdAt: "soon" }),
  JSON.stringify({ ...CLAIM, nonce: "n", answer: { body: 7 } }),
  "[".repeat(100_000) + "]".repeat(100_000),
];

function createStore(): {
  data: tableData.TableData;
  claims: claimStore.ClaimStore;
  /** Keys of rows that were told as unreadable. */
  told: string[];
} {
  const data = new tableData.TableData();
  const told: string[] = [];
  const claims = new claimStore.ClaimStore({
    table: tableService.createTable(data),
    random: new common.Random(1),
    timeoutMilliseconds: 100,
    unreadable: new common.UnreadableRows({
      table: "claims",
      metrics: common.discardMetrics(),
      log: (key) => told.push(key),
    }),
  });
  return { data, claims, told };
}

function put(data: tableData.TableData, key: string, value: string): void {
  data.transact({
    conditions: [],
    writes: [backingServices.putRow(key, value)],
  });
}

// Guards against a claim that can't be read and is taken for none: its request, which
// may not be repeated, would run twice. An exception left its caller without an answer.
test("a claim that can't be read is not replaced and not taken for none", async (t) => {
  for (const value of UNREADABLE) {
    const { data, claims, told } = createStore();
    put(data, KEY, value);
    const written = await claims.write({
      key: KEY,
      claim: CLAIM,
      base: undefined,
    });
    t.is(written.kind, "unreadable", value.slice(0, 80));
    t.is(data.get(KEY)?.value, value);
    t.deepEqual(told, [KEY]);
  }
});

// Guards against one odd row that ends the removal of all old claims, or is itself
// removed, so that its key is free again.
test("a claim that can't be read is left out when old claims are removed", async (t) => {
  for (const value of UNREADABLE) {
    const { data, claims } = createStore();
    put(data, KEY, value);
    const old = claimStore.claimKey("account", "old");
    await claims.write({ key: old, claim: CLAIM, base: undefined });
    const removed = await claims.removeBatch({
      before: 2,
      from: "",
      limit: 10,
    });
    t.is(removed.isOk() && removed.value.removed, 1, value.slice(0, 80));
    t.is(data.get(old), undefined);
    t.is(data.get(KEY)?.value, value);
  }
});

// Guards against fields of a later version that are lost as a claim changes its state.
test("a claim keeps the fields that this version doesn't know", async (t) => {
  const { data, claims } = createStore();
  put(data, KEY, JSON.stringify({ ...CLAIM, nonce: "n", later: [1] }));
  const found = await claims.write({ key: KEY, claim: CLAIM, base: undefined });
  if (found.kind !== "exists") return t.fail(found.kind);
  const claim = {
    ...found.stored.claim,
    state: claimStore.ClaimState.MayHaveRun,
  };
  await claims.write({ key: KEY, claim, base: found.stored });
  const stored = JSON.parse(data.get(KEY)?.value ?? "") as { later: unknown };
  t.deepEqual(stored.later, [1]);
});
