import * as common from "@geraniumkeel/common";
import * as configurationHolder from "./configuration_holder.ts";
import * as configurationStore from "./configuration_store.ts";
import type * as copiedHeadPolicyModule from "./copied_head_policy.ts";
import * as restoreConfiguration from "./restore_configuration.ts";

/** Epoch of a head that is not there. */
const NO_HEAD_EPOCH = -1;
/** Reads of the head that all entries together may cause in a second. */
const READS_PER_SECOND = 100;

/**
 * Anti-entropy with the store: whatever pushes missed is found by reading the
 * head again and again. The period grows with the number of entries, so that
 * the load on the table service stays bounded.
 */
export async function syncWithStore(parameters: {
  currentConfiguration: configurationHolder.ConfigurationHolder;
  store: configurationStore.ConfigurationStore;
  copiedHead: copiedHeadPolicyModule.CopiedHeadPolicy;
  logger: common.Logger;
  random: common.Random;
  periodMilliseconds: number;
  entryCount: () => number;
  /** Called whenever the store has answered. */
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
    const shared = (parameters.entryCount() * 1_000) / READS_PER_SECOND;
    const period = Math.max(parameters.periodMilliseconds, shared);
    await common.sleep(random.between(0.5, 1.5) * period, signal);
  }
}

/** Reads the head and puts it in force if newer; false without an answer. */
async function readOnce(parameters: {
  currentConfiguration: configurationHolder.ConfigurationHolder;
  store: configurationStore.ConfigurationStore;
  copiedHead: copiedHeadPolicyModule.CopiedHeadPolicy;
  logger: common.Logger;
}): Promise<boolean> {
  const {
    currentConfiguration: currentConfiguration,
    store,
    copiedHead,
  } = parameters;
  const read = await store.readHead();
  if (read.isErr()) return false;
  const headEpoch = read.value?.head.epoch ?? NO_HEAD_EPOCH;
  if (copiedHead.mayRestore(headEpoch)) {
    await restore(parameters, read.value);
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

/** Writes what is in force again, in place of a head that comes from a copy. */
async function restore(
  parameters: {
    currentConfiguration: configurationHolder.ConfigurationHolder;
    store: configurationStore.ConfigurationStore;
    logger: common.Logger;
  },
  base: configurationStore.ReadHead | undefined,
): Promise<void> {
  const { currentConfiguration: currentConfiguration, logger } = parameters;
  const before = base?.head.revision ?? 0;
  if (
    !(await restoreConfiguration.restoreConfiguration({ ...parameters, base }))
  )
    return;
  const code = common.EventCode.TableRowsRestored;
  const { revision } = currentConfiguration;
  logger.event(code, { rows: { configuration: 1 }, before, revision });
}
