import * as ava from "ava";
import * as evacuationList from "./evacuation_list.ts";
import * as evacuationRows from "./evacuation_rows.ts";

const test = ava.default;

function versionOf(rows: evacuationRows.EvacuationRows): number {
  return rows.list?.version ?? 0;
}

test("versions are ordered by the epoch first, and are never 0", (t) => {
  const { evacuationListVersion } = evacuationList;
  t.true(evacuationListVersion(0, 0) > 0);
  t.true(evacuationListVersion(2, 1) > evacuationListVersion(1, 9_999));
  const list = { version: evacuationListVersion(2, 7), dataCentres: [] };
  const retained = evacuationList.withRetained(list, ["x"]);
  t.true(retained.version < evacuationListVersion(2, 8));
  t.is(evacuationList.epochOfEvacuationList(retained), 2);
});

// Guards against an evacuation that is lost. It is ended and set again within a
// second; one entry reads the table in between and spreads the empty list, another
// one sees both changes in one look, after which its list is as it was.
test("a change after which the list is the same makes a new version", (t) => {
  const rows = new evacuationRows.EvacuationRows();
  const look = { epoch: 1, dataCentres: ["x"], changed: true };
  rows.take({ ...look, version: 50 });
  const first = versionOf(rows);
  rows.take({ ...look, version: 62, changed: false });
  t.is(versionOf(rows), first);
  rows.take({ ...look, version: 63 });
  t.true(versionOf(rows) > evacuationList.evacuationListVersion(1, 62));
});

// Guards against evacuations that stay in force for good: a table without epochs
// is restored from a copy, and its versions go back.
test("a table that tells no epochs may go back to lower versions", (t) => {
  const rows = new evacuationRows.EvacuationRows();
  const look = { epoch: 0, changed: true };
  rows.take({ ...look, version: 50, dataCentres: ["x"] });
  const first = versionOf(rows);
  rows.take({ ...look, version: 40, dataCentres: [] });
  t.true(versionOf(rows) > first);
  t.deepEqual(rows.list?.dataCentres, []);
});
