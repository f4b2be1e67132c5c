import * as compactMeshHeartbeat from "./compact_mesh_heartbeat.ts";
import * as compactMeshLoad from "./compact_mesh_load.ts";
import * as compactRankHeartbeat from "./compact_rank_heartbeat.ts";
import * as isNumbers from "./is_numbers.ts";
import type * as load from "./load.ts";
import type * as message from "./message.ts";
import * as messageKind from "./message_kind.ts";

type HeartbeatMessage = Extract<
  message.Message,
  { kind: messageKind.MessageKind.Heartbeat }
>;
type LoadMessage = Extract<
  message.Message,
  { kind: messageKind.MessageKind.Load }
>;

/** Microseconds in a millisecond: times travel as whole microseconds. */
const MICROSECONDS = 1_000;

/** Order of a load's numbers on the wire. */
const LOAD_FIELDS = [
  "started",
  "finished",
  "sequences",
  "waiting",
  "cachedTokens",
  "prefillTokens",
  "rankMilliseconds",
  "stepMilliseconds",
  "step",
  "mapVersion",
] as const satisfies readonly (keyof load.RunnerLoad)[];

const TIME_FIELDS = new Set<string>(["rankMilliseconds", "stepMilliseconds"]);

/**
 * The messages that are sent all the time, as plain lists. With field names they take
 * several times the bytes, and over hundreds of links more than a node may spend on
 * control.
 */
export function toCompact(value: message.Message): unknown[] | undefined {
  switch (value.kind) {
    case messageKind.MessageKind.Heartbeat:
      return [value.kind, Math.round(value.clock), value.revision];
    case messageKind.MessageKind.Load:
      return [
        value.kind,
        Math.round(value.clock),
        value.dispatches,
        ...LOAD_FIELDS.map((field) =>
          Math.round(value.load[field] * scaleOf(field)),
        ),
      ];
    case messageKind.MessageKind.MeshHeartbeat:
      return compactMeshHeartbeat.meshHeartbeatToList(value);
    case messageKind.MessageKind.MeshLoad:
      return compactMeshLoad.meshLoadToList(value);
    case messageKind.MessageKind.RankHeartbeat:
      return compactRankHeartbeat.rankHeartbeatToList(value);
    default:
      return undefined;
  }
}

/** The message of a compact list, or `undefined` if it is none. */
export function fromCompact(list: unknown[]): message.Message | undefined {
  switch (list[0] as messageKind.MessageKind) {
    case messageKind.MessageKind.MeshHeartbeat:
      return compactMeshHeartbeat.meshHeartbeatFromList(list);
    case messageKind.MessageKind.MeshLoad:
      return compactMeshLoad.meshLoadFromList(list);
    case messageKind.MessageKind.RankHeartbeat:
      return compactRankHeartbeat.rankHeartbeatFromList(list);
    default:
      return fromNumbers(list);
  }
}

function fromNumbers(list: unknown[]): message.Message | undefined {
  if (!isNumbers.isNumbers(list)) return undefined;
  const [kind, clock, third, ...rest] = list;
  switch (kind as messageKind.MessageKind) {
    case messageKind.MessageKind.Heartbeat:
      return heartbeat(clock, third);
    case messageKind.MessageKind.Load:
      if (rest.length !== LOAD_FIELDS.length) return undefined;
      return loadMessage(clock, third, rest);
    default:
      return undefined;
  }
}

function heartbeat(clock: number, revision: number): HeartbeatMessage {
  return { kind: messageKind.MessageKind.Heartbeat, clock, revision };
}

function loadMessage(
  clock: number,
  dispatches: number,
  values: number[],
): LoadMessage {
  const entries = LOAD_FIELDS.map((field, index): [string, number] => [
    field,
    values[index] / scaleOf(field),
  ]);
  const load = Object.fromEntries(entries) as unknown as load.RunnerLoad;
  return { kind: messageKind.MessageKind.Load, load, clock, dispatches };
}

function scaleOf(field: string): number {
  return TIME_FIELDS.has(field) ? MICROSECONDS : 1;
}
