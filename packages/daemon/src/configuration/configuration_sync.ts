import * as common from "@geraniumkeel/common";
import * as configurationHolder from "./configuration_holder.ts";
import * as configurationStore from "./configuration_store.ts";
import type * as copiedHeadPolicyModule from "./copied_head_policy.ts";
import * as rewriteConfiguration from "./rewrite_configuration.ts";

/** Epoch that is assumed if the table has no head; lower than any epoch. */
const NO_HEAD_EPOCH = -1;
/** Largest number of reads of the head a second by all entries together. */
const READS_PER_SECOND = 100;

/**
 * Reads the head from the store periodically until the signal aborts, and puts
 * the configuration in force if the head is newer. So an entry gets changes
 * that no peer pushed to it. The period grows with the number of entries, so
 * that the load on the table service stays bounded.
 */
export async function syncWithStore(parameters: {
  currentConfiguration: configurationHolder.ConfigurationHolder;
  store: configurationStore.ConfigurationStore;
  copiedHead: copiedHeadPolicyModule.CopiedHeadPolicy;
  logger: common.Logger;
  random: common.Random;
  periodMilliseconds: number;
  entryCount: () => number;
  /** Called after each read that the store answered. */
  onAnswer: () => void;
  signal: AbortSignal;
}): Promise<void> {
  const { logger, random, signal } = parameters;
  let available = true;
  while (!signal.aborted) {
    const answered = await readOnce(parameters);
    if (answered) parameters.onAnswer();
    if (answered !== available) {
      available = answered;
      const code = answered
        ? common.EventCode.StoreRecovered
        : common.EventCode.StoreUnavailable;
      logger.event(code);
    }
    const minimumPeriod = (parameters.entryCount() * 1_000) / READS_PER_SECOND;
    const period = Math.max(parameters.periodMilliseconds, minimumPeriod);
    await common.sleep(random.between(0.5, 1.5) * period, signal);
  }
}

/**
 * Reads the head once. Puts the configuration in force if the head is newer, or
 * rewrites the head if `CopiedHeadPolicy` requires it. Returns false if the
 * store did not answer.
 */
async function readOnce(parameters: {
  currentConfiguration: configurationHolder.ConfigurationHolder;
  store: configurationStore.ConfigurationStore;
  copiedHead: copiedHeadPolicyModule.CopiedHeadPolicy;
  logger: common.Logger;
}): Promise<boolean> {
  const { currentConfiguration, store, copiedHead } = parameters;
  const read = await store.readHead();
  if (read.isErr()) {
    // A head that can't be read is an answer; what is in force stays so.
    return read.error.kind === "unreadable-head";
  }
  const headEpoch = read.value?.head.epoch ?? NO_HEAD_EPOCH;
  if (copiedHead.mustRewrite(headEpoch)) {
    await rewrite(parameters, read.value);
    return true;
  }
  if (!read.value) return true;
  const head = configurationStore.publicHead(read.value.head);
  if (head.revision <= currentConfiguration.revision) {
    currentConfiguration.noteRevision(head.revision);
    return true;
  }
  if (!copiedHead.mayAdopt(headEpoch)) return true;
  const sections = await store.readSections(
    head,
    currentConfiguration.sectionRevisions(),
  );
  if (sections.isErr()) return false;
  if (sections.value) currentConfiguration.adopt(head, sections.value);
  return true;
}

/**
 * Rewrites a head that comes from a copy of the table with the configuration in
 * force, and logs this.
 */
async function rewrite(
  parameters: {
    currentConfiguration: configurationHolder.ConfigurationHolder;
    store: configurationStore.ConfigurationStore;
    logger: common.Logger;
  },
  base: configurationStore.ReadHead | undefined,
): Promise<void> {
  const { currentConfiguration, logger } = parameters;
  const before = base?.head.revision ?? 0;
  if (
    !(await rewriteConfiguration.rewriteConfiguration({ ...parameters, base }))
  )
    return;
  const code = common.EventCode.TableRowsRestored;
  const { revision } = currentConfiguration;
  logger.event(code, { rows: { configuration: 1 }, before, revision });
}
