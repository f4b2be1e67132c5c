import * as common from "@geraniumkeel/common";
import type * as entryContext from "./entry_context.ts";

/** How often it is looked whether the table came back, if nothing is announced. */
const LOOK_MILLISECONDS = 1_000;

/**
 * Writes what the table lost again, each time it came back from a copy: claims of
 * requests that may not be repeated, and requests that are held. The configuration has a
 * task of its own.
 */
export async function restoreRows(
  context: entryContext.EntryContext,
  signal: AbortSignal,
): Promise<void> {
  const { table, lostClaims, quarantine, logger } = context;
  let known = table.epoch.number;
  while (!signal.aborted) {
    await table.epoch.began.next(LOOK_MILLISECONDS, signal);
    const { number: epoch, sawBegin } = table.epoch;
    if (epoch === known) continue;
    if (!sawBegin) {
      known = epoch;
      continue;
    }
    if (!(await lostClaims.gather())) continue;
    known = epoch;
    const claims = await lostClaims.restore();
    const rows = { claims, quarantine: quarantine.repairRows() };
    logger.event(common.EventCode.TableRowsRestored, { epoch, rows });
  }
}
