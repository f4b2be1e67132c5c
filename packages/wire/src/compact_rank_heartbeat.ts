import * as isNumbers from "./is_numbers.ts";
import * as messageKind from "./message_kind.ts";
import type * as rankGroup from "./rank_group.ts";

/** Order of a state's numbers on the wire; whether the group is open precedes them. */
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

type StatusNumbers = Omit<rankGroup.RankStatus, "open">;

/** Kind, group, token, epoch, rank and size, and whether the group is open. */
const HEAD_LENGTH = 7;

/**
 * What a rank tells its leader as a plain list. The leader of a large group takes in
 * hundreds of them a second: by names a state takes five times the bytes, and more of a
 * small host's processor than what it says.
 */
export function rankHeartbeatToList(
  heartbeat: rankGroup.RankHeartbeat,
): unknown[] {
  const { token, identity, status, chosen } = heartbeat;
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

/** The beat of a list, or `undefined` if it is none. */
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
