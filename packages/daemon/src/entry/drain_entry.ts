import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as entryContext from "./entry_context.ts";

const LOOK_MILLISECONDS = 50;

/**
 * The planned stop of an entry. It leaves the entry list at once, but takes work
 * for as long as callers may keep the list: a caller that was just told to come
 * here is still served, unless it gives more time than the stop has left. Then new
 * work is refused as not run, and what was accepted, queued included, is finished.
 */
export function createDrain(
  context: entryContext.EntryContext,
): () => Promise<void> {
  let draining: Promise<void> | undefined;
  return () => (draining ??= drain(context));
}

async function drain(context: entryContext.EntryContext): Promise<void> {
  const { settings, members, logger, dispatcher, lifeCycle } = context;
  const { drainNotice, drainTimeout } = settings.timing;
  logger.event(common.EventCode.DrainStarted);
  context.stopsBy = common.now() + drainTimeout;
  members.updateSelf({ state: wire.MemberState.Draining });
  await common.sleep(Math.min(drainNotice, drainTimeout), lifeCycle.signal);
  context.draining = true;
  while (dispatcher.running > 0 && common.now() < context.stopsBy) {
    await common.sleep(LOOK_MILLISECONDS, lifeCycle.signal);
    if (lifeCycle.closing) return;
  }
  const unfinished = dispatcher.running;
  logger.event(common.EventCode.DrainFinished, { unfinished });
}
