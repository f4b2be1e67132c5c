import * as common from "@geraniumkeel/common";
import type * as lease from "../lease/lease.ts";
import type * as claimStore from "./claim_store.ts";

/** Rows that are read in one batch. */
const BATCH_ROWS = 200;

/**
 * Removes claims past their retention, one batch of rows each period, until the
 * signal aborts. Only the entry that has the lease for this duty removes
 * claims. The lease saves work and is not needed for safety: two entries that
 * do so at the same time only delete the same rows.
 */
export async function removeOldClaims(parameters: {
  claims: claimStore.ClaimStore;
  lease: lease.Lease;
  /** Whether this entry is the one that should acquire the lease. */
  isPreferredHolder: () => boolean;
  retentionMilliseconds: number;
  periodMilliseconds: number;
  signal: AbortSignal;
}): Promise<void> {
  const { claims, signal, periodMilliseconds } = parameters;
  let from = "";
  while (!signal.aborted) {
    await common.sleep(periodMilliseconds, signal);
    if (signal.aborted || !parameters.isPreferredHolder()) continue;
    if ((await parameters.lease.renew()) === undefined) continue;
    const before = Date.now() - parameters.retentionMilliseconds;
    const removed = await claims.removeBatch({
      before,
      from,
      limit: BATCH_ROWS,
    });
    from = removed.isOk() ? (removed.value.next ?? "") : from;
  }
  await parameters.lease.release();
}
