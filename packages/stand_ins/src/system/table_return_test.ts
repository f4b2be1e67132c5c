import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as lease from "@geraniumkeel/daemon/lease/lease";
import * as tableService from "../gateways/table_service.ts";
import * as tableData from "../table_data.ts";

const test = ava.default;

const DURATION_MILLISECONDS = 60;

/** One process's lease on a table that all share. */
function createLease(data: tableData.TableData, host: string): lease.Lease {
  return new lease.Lease({
    table: tableService.createTable(data),
    key: "leases/x",
    host,
    incarnation: host,
    durationMilliseconds: DURATION_MILLISECONDS,
    random: new common.Random(1),
    unreadable: new common.UnreadableRows({
      table: "leases",
      metrics: common.discardMetrics(),
      log: (key, reason) => {
        throw new Error(`${key}: ${reason}`);
      },
    }),
  });
}

async function renewUntilHeld(one: lease.Lease): Promise<number> {
  for (;;) {
    const fencing = await one.renew();
    if (fencing !== undefined) return fencing;
    await common.sleep(2);
  }
}

// A rank that promised to obey a number obeys every term of that number: two terms of
// one number leave a group with two maps.
test("a fencing number is not given again by a table that forgot it", async (t) => {
  const data = new tableData.TableData();
  const former = createLease(data, "a");
  const first = await renewUntilHeld(former);
  await former.release();
  const copy = data.copy();
  const forgotten = await renewUntilHeld(createLease(data, "b"));
  data.comeBackFrom(copy);
  const next = await renewUntilHeld(createLease(data, "c"));
  t.true(forgotten > first);
  t.true(next > forgotten);
});

test("a fencing number is not given again by a table that forgot all", async (t) => {
  const data = new tableData.TableData();
  const nothing = data.copy();
  const forgotten = await renewUntilHeld(createLease(data, "a"));
  data.comeBackFrom(nothing);
  t.true((await renewUntilHeld(createLease(data, "b"))) > forgotten);
});

// Its holder would go on giving orders beside the one who takes it next.
test("a lease that the table lost is held no more once that is known", async (t) => {
  const data = new tableData.TableData();
  const copy = data.copy();
  const holder = createLease(data, "a");
  await renewUntilHeld(holder);
  data.comeBackFrom(copy);
  await holder.parameters.table.get("x");
  t.is(holder.fencing, undefined);
});

// Its holder does not know yet that the table has lost it.
test("a lease is free after the return only once its holder must have given it up", async (t) => {
  const data = new tableData.TableData();
  const holder = createLease(data, "a");
  await renewUntilHeld(holder);
  await holder.release();
  const free = data.copy();
  const next = createLease(data, "b");
  await renewUntilHeld(next);
  data.comeBackFrom(free);
  const third = createLease(data, "c");
  while ((await third.renew()) === undefined) {
    await common.sleep(1);
  }
  t.is(next.fencing, undefined);
});

// The table may have forgotten a number that ranks remember.
test("a number that was promised to another is outdone", async (t) => {
  const data = new tableData.TableData();
  const one = createLease(data, "a");
  one.raiseFencingAbove(50_000);
  t.true((await renewUntilHeld(one)) > 50_000);
});
