import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as entriesOutside from "../evacuation/entries_outside.ts";

/** Seconds for which a caller may keep the list. */
const VALID_SECONDS = 5;
/** Entries up to which every caller may get any of them. */
const SPREAD_LIMIT = 16;
/** Entries listed at most; nobody tries more. */
const LONGEST_LIST = 8;
/** Entries for an account, as a multiple of its share of all entries. */
const ROOM_FACTOR = 2;

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

/** For whom a list is made, and of whom. */
export interface EntryListParameters {
  members: wire.Member[];
  /** The account that asks, with its part of all accounts' limits. */
  account: { name: string; share: number };
  /** Whether a place is an evacuated data centre. */
  isEvacuated: (place: string) => boolean;
  /** Whether an entry is in the region of the one that is asked. */
  isNear: (host: string) => boolean;
  random: common.Random;
}

/**
 * Entry hosts in an order made for one caller: the first to use, the next ones
 * if that fails. Hosts that drain, are suspected or gone are left out, and those
 * in evacuated data centres while there are others.
 *
 * Among few entries any order will do, and each call gets its own, so that
 * callers that wake together spread by weight. Among hundreds, an account's
 * callers are sent to as few as its size needs, always the same: were they
 * spread over all, every entry would borrow a little credit of every account
 * from every other, and have a link to each of them.
 */
export function entryList(parameters: EntryListParameters): EntryList {
  const { members, account, isEvacuated, isNear, random } = parameters;
  const open = entriesOutside.entriesOutside(
    members
      .filter((member) => member.state === wire.MemberState.Alive)
      .filter((member) => member.weight > 0),
    ({ place }) => isEvacuated(place),
  );
  const ordered =
    open.length <= SPREAD_LIMIT
      ? inRandomOrder(open, random)
      : [
          ...homesFirst(open.filter(near(isNear, true)), account, random),
          ...homesFirst(open.filter(near(isNear, false)), account, random),
        ];
  const entries = ordered
    .slice(0, LONGEST_LIST)
    .map(({ callerUrl, place, weight }) => ({ url: callerUrl, place, weight }));
  return { entries, validForSeconds: VALID_SECONDS };
}

function near(
  isNear: (host: string) => boolean,
  wanted: boolean,
): (member: wire.Member) => boolean {
  return ({ host }) => isNear(host) === wanted;
}

/** The account's own entries in random order, then the others by preference. */
function homesFirst(
  members: wire.Member[],
  account: EntryListParameters["account"],
  random: common.Random,
): wire.Member[] {
  const byHost = new Map(members.map((member) => [member.host, member]));
  const order = common
    .rendezvousOrder(account.name, byHost.keys())
    .flatMap((host) => byHost.get(host) ?? []);
  const homes = Math.ceil(ROOM_FACTOR * account.share * members.length);
  return [
    ...inRandomOrder(order.slice(0, homes), random),
    ...order.slice(homes),
  ];
}

/** Weighted random order: exponential times, shortest first. */
function inRandomOrder(
  members: wire.Member[],
  random: common.Random,
): wire.Member[] {
  return members
    .map((member) => ({
      member,
      time: random.exponential(1 / member.weight),
    }))
    .sort((left, right) => left.time - right.time)
    .map(({ member }) => member);
}
