import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as rankHandle from "./rank_handle.ts";

/** Pause before an order whose outcome is unknown is repeated. */
const REPEAT_PAUSE_MILLISECONDS = 10;

/** Waits for the pause between two tries. */
export function shortPause(): Promise<void> {
  return common.sleep(REPEAT_PAUSE_MILLISECONDS);
}

/**
 * Repeats an idempotent order at one rank until its outcome is known, or until
 * `valid` returns false because this process no longer leads. Returns the last
 * reply.
 */
export async function orderUntilFinal(parameters: {
  handle: rankHandle.RankHandle;
  order: wire.RankOrder;
  valid: () => boolean;
  pause: rankHandle.Pause;
}): Promise<wire.RankReply> {
  const { handle, order, valid, pause } = parameters;
  let reply = await handle.order(order);
  while (reply.end === wire.RankOrderEnd.Unknown && valid()) {
    await pause();
    reply = await handle.order(order);
  }
  return reply;
}

/**
 * Does the same at several ranks at once. Returns the first reply other than
 * "done", or `undefined` if all are done.
 */
export async function orderAllUntilFinal(parameters: {
  handles: readonly rankHandle.RankHandle[];
  order: wire.RankOrder;
  valid: () => boolean;
  pause: rankHandle.Pause;
}): Promise<wire.RankReply | undefined> {
  const { handles, ...others } = parameters;
  const replies = await Promise.all(
    handles.map((handle) => orderUntilFinal({ handle, ...others })),
  );
  return replies.find(({ end }) => end !== wire.RankOrderEnd.Done);
}
