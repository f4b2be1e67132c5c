import * as common from "@geraniumkeel/common";
import type * as lease from "../lease/lease.ts";
import type * as claimStore from "./claim_store.ts";

const BATCH_ROWS = 200;

/**
 * Removes claims past their retention, in batches, at whichever entry holds the
 * lease of this duty. Two at once would only delete the same rows.
 */
export async function removeOldClaims(parameters: {
  claims: claimStore.ClaimStore;
  lease: lease.Lease;
  /** Whether this entry should try for the lease at all. */
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
