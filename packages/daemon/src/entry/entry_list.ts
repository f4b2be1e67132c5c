import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";

/** Seconds for which a caller may keep the list. */
const VALID_SECONDS = 5;

/** An entry host as told to callers. */
export interface ListedEntry {
  url: string;
  place: string;
  weight: number;
}

/** Answer to `GET /v1/entries`. */
export interface EntryList {
  entries: ListedEntry[];
  validForSeconds: number;
}

/**
 * Entry hosts in an order made for one caller: the first to use, the next ones
 * if that fails. Callers that wake together get different orders, so that they
 * spread by weight. Hosts that drain, are suspected or gone are left out.
 */
export function entryList(
  members: wire.Member[],
  random: common.Random,
): EntryList {
  const entries = members
    .filter((member) => member.state === wire.MemberState.Alive)
    .filter((member) => member.weight > 0)
    .map((member) => ({
      member,
      // Weighted random order: exponential times, shortest first.
      order: random.exponential(1 / member.weight),
    }))
    .sort((left, right) => left.order - right.order)
    .map(({ member: { callerUrl, place, weight } }) => ({
      url: callerUrl,
      place,
      weight,
    }));
  return { entries, validForSeconds: VALID_SECONDS };
}
