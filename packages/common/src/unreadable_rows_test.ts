import * as ava from "ava";
import * as metricsModule from "./metrics.ts";
import * as unreadableRows from "./unreadable_rows.ts";

const test = ava.default;

const ROWS = 1_500;

// Guards against rows of another writer that fill the memory of a process, as the text
// of each is kept to log it once.
test("a bounded number of unreadable rows is remembered", (t) => {
  const logged: string[] = [];
  const rows = new unreadableRows.UnreadableRows({
    table: "t",
    metrics: metricsModule.discardMetrics(),
    log: (key) => logged.push(key),
  });
  for (let row = 0; row < ROWS; row++) rows.note(`k-${row}`, "{", []);
  rows.note(`k-${ROWS - 1}`, "{", []);
  t.is(logged.length, ROWS);
  // The first one is no longer remembered, and is logged as new.
  rows.note("k-0", "{", []);
  t.deepEqual(logged.slice(ROWS), ["k-0"]);
});
