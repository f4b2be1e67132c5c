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
/** The same in the build before, which has no proof of the evacuations. */
const HEAD_LENGTH_WITHOUT_EVACUATIONS = 10;
/** Stands for the proof of the evacuations in a heartbeat of that build. */
const NO_PROOF: mesh.MeshProof = { version: 0, age: -1 };

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

/**
 * Unpacks a list; `undefined` if it is no valid heartbeat. Heartbeats of the
 * build before are read as well.
 */
export function meshHeartbeatFromList(
  list: unknown[],
): mesh.MeshHeartbeat | undefined {
  const headLength = headLengthOf(list);
  const head = list.slice(0, headLength);
  const outstanding = countsOf(list.slice(headLength));
  if (!isNumbers.isNumbers(head) || head.length < headLength) return undefined;
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
    evacuations:
      headLength === HEAD_LENGTH
        ? { version: proofs[4], age: proofs[5] }
        : NO_PROOF,
    outstanding,
  };
}

/**
 * The two forms differ in the item after the head of the shorter one: there it
 * is the name of a runner or missing, and in the longer one always a number.
 */
function headLengthOf(list: unknown[]): number {
  const next = list[HEAD_LENGTH_WITHOUT_EVACUATIONS];
  const isShort =
    typeof next === "string" || list.length === HEAD_LENGTH_WITHOUT_EVACUATIONS;
  return isShort ? HEAD_LENGTH_WITHOUT_EVACUATIONS : HEAD_LENGTH;
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
