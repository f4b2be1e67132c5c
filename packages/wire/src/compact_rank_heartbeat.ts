import * as isNumbers from "./is_numbers.ts";
import * as messageKind from "./message_kind.ts";
import type * as rankGroup from "./rank_group.ts";

/**
 * Order of the numbers of a rank's state on the wire. Before them comes the
 * number that says whether the group is open.
 */
const STATUS_FIELDS = [
  "epoch",
  "active",
  "waiting",
  "step",
  "mapVersion",
  "preparedVersion",
  "armedVersion",
  "armedStep",
  "heldStep",
] as const satisfies readonly (keyof rankGroup.RankStatus)[];

type StatusNumbers = Omit<rankGroup.RankStatus, "open" | "pace">;

/**
 * Number of list items before the state's numbers: kind, group, fencing token,
 * epoch, rank, size, and whether the group is open.
 */
const HEAD_LENGTH = 7;

/**
 * Writes a rank's heartbeat as a plain list; `undefined` if the rank is slow. A
 * list has no room for the pace: a process of a build that doesn't know it would
 * take it for a count. So a slow rank's heartbeats have field names, which such a
 * process reads as well. The leader of a large group
 * receives hundreds of heartbeats a second. With field names a state takes five
 * times the bytes, and reading the names takes more processor time of a small
 * host than the values.
 */
export function rankHeartbeatToList(
  heartbeat: rankGroup.RankHeartbeat,
): unknown[] | undefined {
  const { token, identity, status, chosen } = heartbeat;
  // The planner takes a pace below 1 for 1.
  if ((status.pace ?? 1) > 1) return undefined;
  const { group, epoch, rank, size } = identity;
  return [
    heartbeat.kind,
    group,
    token,
    epoch,
    rank,
    size,
    status.open ? 1 : 0,
    ...STATUS_FIELDS.map((field) => status[field]),
    ...chosen,
  ];
}

/** Reads a heartbeat from a list; `undefined` if the list contains none. */
export function rankHeartbeatFromList(
  list: unknown[],
): rankGroup.RankHeartbeat | undefined {
  const [, group, ...numbers] = list;
  if (typeof group !== "string" || !isNumbers.isNumbers(numbers))
    return undefined;
  if (list.length < HEAD_LENGTH + STATUS_FIELDS.length) return undefined;
  const [token, epoch, rank, size, open, ...rest] = numbers;
  return {
    kind: messageKind.MessageKind.RankHeartbeat,
    token,
    identity: { group, epoch, rank, size },
    status: { open: open === 1, ...statusNumbers(rest) },
    chosen: rest.slice(STATUS_FIELDS.length),
  };
}

function statusNumbers(values: number[]): StatusNumbers {
  const entries = STATUS_FIELDS.map((field, index): [string, number] => [
    field,
    values[index],
  ]);
  return Object.fromEntries(entries) as unknown as StatusNumbers;
}
