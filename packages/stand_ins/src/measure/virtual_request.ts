import type * as serviceQueue from "@geraniumkeel/daemon/admission/service_queue";
import * as surgeReserve from "@geraniumkeel/daemon/admission/surge_reserve";

const COST_TOKENS = 100;

/** A request in virtual time: usual, patient, and new unless said otherwise. */
export function virtualRequest(
  change: Pick<serviceQueue.WaitingRequest<true>, "account" | "takeRunner"> &
    Partial<serviceQueue.WaitingRequest<true>>,
): serviceQueue.WaitingRequest<true> {
  return {
    weight: 1,
    cost: COST_TOKENS,
    urgency: surgeReserve.DEFAULT_URGENCY,
    deadline: Infinity,
    signal: new AbortController().signal,
    wasAdmitted: false,
    ...change,
  };
}
