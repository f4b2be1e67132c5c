import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as attemptRecord from "@geraniumkeel/daemon/upstream/attempt_record";
import * as attemptTable from "@geraniumkeel/daemon/upstream/attempt_table";
import * as statistics from "./statistics.ts";
import * as usedHeap from "./used_heap.ts";

const COUNTS = [1_000, 2_000, 4_000];
const TOKENS = 60;
const WINDOW = 64;

/** Memory of an upstream process for what it remembers. */
export function measureAttempts(): object {
  return {
    released: slope((table, index) => addAttempt(table, index, true)),
    kept: slope((table, index) => addAttempt(table, index, false)),
    tombstone: slope((table, index) => {
      table.settle(attemptOf(table, index));
    }),
  };
}

/** Bytes for each attempt remembered, fitted over several counts. */
function slope(
  add: (table: attemptTable.AttemptTable, index: number) => void,
): object {
  const points = COUNTS.map((count) => {
    const before = usedHeap.usedHeap();
    const table = new attemptTable.AttemptTable(common.randomIdentifier());
    for (let index = 0; index < count; index++) add(table, index);
    const y = usedHeap.usedHeap() - before;
    // Read after the measurement, so that the table is still held during it.
    if (table.records.size + table.tombstones !== count) {
      throw new Error("attempts are missing");
    }
    return { x: count, y };
  });
  const fit = statistics.fitLine(points);
  return {
    bytesEach: statistics.round(fit.slope),
    error: statistics.round(fit.error),
    points,
  };
}

function addAttempt(
  table: attemptTable.AttemptTable,
  index: number,
  released: boolean,
): void {
  const attempt = attemptOf(table, index);
  const link = { send: () => undefined } as unknown as wire.Link;
  const record = new attemptRecord.AttemptRecord(
    attempt,
    released,
    link,
    WINDOW,
    100,
  );
  table.add(record);
  for (let token = 0; token < TOKENS; token++) record.append(`token ${token}`);
  record.finish({
    kind: wire.EndKind.Complete,
    finishReason: wire.FinishReason.Stop,
    promptTokens: 100,
  });
  table.ended(record);
  if (released) record.release();
}

function attemptOf(
  table: attemptTable.AttemptTable,
  index: number,
): wire.Attempt {
  return {
    identifier: `${common.randomIdentifier()}/${index}`,
    agentIncarnation: table.incarnation,
    issuedAt: table.clock(),
  };
}
