import * as common from "@geraniumkeel/common";
import * as configurationKeeper from "./configuration_keeper.ts";
import * as configurationStore from "./configuration_store.ts";
import type * as copiedHeadModule from "./copied_head.ts";
import * as restoreConfiguration from "./restore_configuration.ts";

/** Epoch of a head that is not there. */
const NOT_WRITTEN = -1;
/** Reads of the head that all entries together may cause in a second. */
const READS_PER_SECOND = 100;

/**
 * Anti-entropy with the store: whatever pushes missed is found by reading the
 * head again and again. The period grows with the number of entries, so that
 * the load on the table service stays bounded.
 */
export async function syncWithStore(parameters: {
  keeper: configurationKeeper.ConfigurationKeeper;
  store: configurationStore.ConfigurationStore;
  copiedHead: copiedHeadModule.CopiedHead;
  logger: common.Logger;
  random: common.Random;
  periodMilliseconds: number;
  entries: () => number;
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
    const shared = (parameters.entries() * 1_000) / READS_PER_SECOND;
    const period = Math.max(parameters.periodMilliseconds, shared);
    await common.sleep(random.between(0.5, 1.5) * period, signal);
  }
}

/** Reads the head and puts it in force if newer; false without an answer. */
async function readOnce(parameters: {
  keeper: configurationKeeper.ConfigurationKeeper;
  store: configurationStore.ConfigurationStore;
  copiedHead: copiedHeadModule.CopiedHead;
  logger: common.Logger;
}): Promise<boolean> {
  const { keeper, store, copiedHead } = parameters;
  const read = await store.readHead();
  if (read.isErr()) return false;
  const writtenIn = read.value?.head.epoch ?? NOT_WRITTEN;
  if (copiedHead.mayRestore(writtenIn)) {
    await restore(parameters, read.value);
    return true;
  }
  if (!read.value) return true;
  const head = configurationStore.publicHead(read.value.head);
  if (head.revision <= keeper.revision) {
    keeper.hear(head.revision);
    return true;
  }
  if (!copiedHead.mayAdopt(writtenIn)) return true;
  const sections = await store.readSections(head, keeper.held());
  if (sections.isErr()) return false;
  if (sections.value) keeper.adopt(head, sections.value);
  return true;
}

/** Writes what is in force again, in place of a head that comes from a copy. */
async function restore(
  parameters: {
    keeper: configurationKeeper.ConfigurationKeeper;
    store: configurationStore.ConfigurationStore;
    logger: common.Logger;
  },
  base: configurationStore.ReadHead | undefined,
): Promise<void> {
  const { keeper, logger } = parameters;
  const before = base?.head.revision ?? 0;
  if (
    !(await restoreConfiguration.restoreConfiguration({ ...parameters, base }))
  )
    return;
  const code = common.EventCode.TableRowsRestored;
  const { revision } = keeper;
  logger.event(code, { rows: { configuration: 1 }, before, revision });
}
