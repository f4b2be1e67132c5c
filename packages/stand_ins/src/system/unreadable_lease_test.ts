import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as lease from "@geraniumkeel/daemon/lease/lease";
import * as tableService from "../gateways/table_service.ts";
import * as tableData from "../table_data.ts";

const test = ava.default;

const DURATION_MILLISECONDS = 60;
const KEY = "leases/x";
const ROW = {
  holder: "o",
  incarnation: "o",
  fencing: 7,
  epoch: 1,
  nonce: "n",
};

/** Values that another writer may leave in the row of a lease. */
const UNREADABLE = [
  "",
  "{",
  "null",
  "7",
  "{}",
  JSON.stringify({ ...ROW, fencing: null }),
  JSON.stringify({ ...ROW, fencing: "7" }),
  JSON.stringify({ ...ROW, fencing: 7.5 }),
  JSON.stringify({ ...ROW, fencing: 1e300 }),
  JSON.stringify({ ...ROW, holder: undefined }),
];

function createLease(
  data: tableData.TableData,
  host: string,
  told: string[] = [],
): lease.Lease {
  return new lease.Lease({
    table: tableService.createTable(data),
    key: KEY,
    host,
    incarnation: host,
    durationMilliseconds: DURATION_MILLISECONDS,
    random: new common.Random(1),
    unreadable: new common.UnreadableRows({
      table: "leases",
      metrics: common.discardMetrics(),
      log: (key) => told.push(key),
    }),
  });
}

function put(data: tableData.TableData, value: string): void {
  data.transact({
    conditions: [],
    writes: [backingServices.putRow(KEY, value)],
  });
}

/** Renews for longer than an expired lease has to be observed. */
async function renewForLong(one: lease.Lease): Promise<(number | undefined)[]> {
  const got: (number | undefined)[] = [];
  const until = common.now() + 3 * DURATION_MILLISECONDS;
  while (common.now() < until) {
    got.push(await one.renew());
    await common.sleep(DURATION_MILLISECONDS / 6);
  }
  return got;
}

// Guards against two leaders by one fencing number: the number of the last term is not
// known, so any number may be given again. An exception ended the task that renews.
test("a lease that can't be read is not acquired", async (t) => {
  for (const value of UNREADABLE) {
    const data = new tableData.TableData();
    const told: string[] = [];
    put(data, value);
    const got = await renewForLong(createLease(data, "a", told));
    t.true(
      got.every((fencing) => fencing === undefined),
      value,
    );
    t.is(data.get(KEY)?.value, value);
    t.deepEqual(told, [KEY]);
  }
});

// Guards against a holder that goes on leading after another writer replaced its row.
test("a holder whose row can't be read any more gives the lease up", async (t) => {
  const data = new tableData.TableData();
  const holder = createLease(data, "a");
  t.not(await holder.renew(), undefined);
  put(data, "{");
  t.is(await holder.renew(), undefined);
  t.is(holder.fencing, undefined);
});

// Guards against a duty that nobody takes up again once its row is mended.
test("a lease whose row can be read again is acquired with a higher number", async (t) => {
  const data = new tableData.TableData();
  const one = createLease(data, "a");
  put(data, "{");
  await one.renew();
  put(data, JSON.stringify({ ...ROW, holder: "" }));
  t.is(await one.renew(), ROW.fencing + 1);
});
