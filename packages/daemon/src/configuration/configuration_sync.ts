import * as common from "@geraniumkeel/common";
import * as configurationKeeper from "./configuration_keeper.ts";
import * as configurationStore from "./configuration_store.ts";

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
}): Promise<boolean> {
  const { keeper, store } = parameters;
  const read = await store.readHead();
  if (read.isErr()) return false;
  if (!read.value) return true;
  const head = configurationStore.publicHead(read.value.head);
  if (head.revision <= keeper.revision) {
    keeper.hear(head.revision);
    return true;
  }
  const sections = await store.readSections(head, keeper.held());
  if (sections.isErr()) return false;
  if (sections.value) keeper.adopt(head, sections.value);
  return true;
}
