import * as isNumbers from "./is_numbers.ts";
import type * as mesh from "./mesh.ts";
import * as messageKind from "./message_kind.ts";

/** Flags of a heartbeat, one bit each. */
enum Flag {
  Ready = 1,
  Leaving = 2,
  StoreReachable = 4,
}

/** Number of list items that precede the request counts by runner. */
const HEAD_LENGTH = 12;

/**
 * Packs a heartbeat between entries into a plain list. Each link carries
 * several a second; an object with field names would take three times the
 * bytes. Ages are rounded to integer milliseconds, in the direction that makes
 * a proof appear older than it is.
 */
export function meshHeartbeatToList(heartbeat: mesh.MeshHeartbeat): unknown[] {
  const { configuration, runners, evacuations } = heartbeat;
  return [
    heartbeat.kind,
    heartbeat.stamp,
    heartbeat.echoedStamp,
    Math.floor(heartbeat.echoedAge),
    flagsOf(heartbeat),
    heartbeat.tableEpoch,
    configuration.version,
    Math.ceil(configuration.age),
    runners.version,
    Math.ceil(runners.age),
    evacuations.version,
    Math.ceil(evacuations.age),
    ...heartbeat.outstanding.flat(),
  ];
}

/** Unpacks a list; `undefined` if it is no valid heartbeat. */
export function meshHeartbeatFromList(
  list: unknown[],
): mesh.MeshHeartbeat | undefined {
  const head = list.slice(0, HEAD_LENGTH);
  const outstanding = countsOf(list.slice(HEAD_LENGTH));
  if (!isNumbers.isNumbers(head) || head.length < HEAD_LENGTH) return undefined;
  if (!outstanding) return undefined;
  const [, stamp, echoedStamp, echoedAge, flags, tableEpoch, ...proofs] = head;
  return {
    kind: messageKind.MessageKind.MeshHeartbeat,
    stamp,
    echoedStamp,
    echoedAge,
    ready: (flags & Flag.Ready) !== 0,
    leaving: (flags & Flag.Leaving) !== 0,
    storeReachable: (flags & Flag.StoreReachable) !== 0,
    tableEpoch,
    configuration: { version: proofs[0], age: proofs[1] },
    runners: { version: proofs[2], age: proofs[3] },
    evacuations: { version: proofs[4], age: proofs[5] },
    outstanding,
  };
}

function flagsOf(heartbeat: mesh.MeshHeartbeat): number {
  const { ready, leaving, storeReachable } = heartbeat;
  return (
    (ready ? Flag.Ready : 0) |
    (leaving ? Flag.Leaving : 0) |
    (storeReachable ? Flag.StoreReachable : 0)
  );
}

/**
 * Pairs of runner and count from a flat list in which they alternate;
 * `undefined` if an item has the wrong type.
 */
function countsOf(list: unknown[]): [string, number][] | undefined {
  const counts: [string, number][] = [];
  for (let index = 0; index < list.length; index += 2) {
    const runner = list[index];
    const count = list[index + 1];
    if (typeof runner !== "string" || typeof count !== "number")
      return undefined;
    counts.push([runner, count]);
  }
  return counts;
}
