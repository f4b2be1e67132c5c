import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as rankHandle from "./rank_handle.ts";

/** Pause before an order without a certain end is given again, in milliseconds. */
const REPEAT_PAUSE_MILLISECONDS = 10;

/** Waits a moment on the clock. */
export function shortPause(): Promise<void> {
  return common.sleep(REPEAT_PAUSE_MILLISECONDS);
}

/** Repeats an order at a rank until its end is certain. */
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

/** Insists at each rank, all at once; the first reply that is not "done". */
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
