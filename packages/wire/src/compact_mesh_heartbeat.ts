import * as isNumbers from "./is_numbers.ts";
import type * as mesh from "./mesh.ts";
import * as messageKind from "./message_kind.ts";

/** What the flags of a beat say, a bit each. */
enum Flag {
  Ready = 1,
  Leaving = 2,
  StoreReachable = 4,
}

/** Numbers of a beat before its counts by runner. */
const HEAD_LENGTH = 10;

/**
 * A beat between entries as a plain list, which goes over each link several times a
 * second: by names it takes three times the bytes. Ages are whole milliseconds, rounded
 * to the side on which a proof counts as older than it is.
 */
export function meshHeartbeatToList(heartbeat: mesh.MeshHeartbeat): unknown[] {
  const { configuration, runners } = heartbeat;
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
    ...heartbeat.outstanding.flat(),
  ];
}

/** The beat of a list, or `undefined` if it is none. */
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

/** Pairs of runner and count, which follow each other in a flat list. */
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
