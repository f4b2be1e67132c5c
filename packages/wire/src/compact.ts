import type * as load from "./load.ts";
import * as message from "./message.ts";

type HeartbeatMessage = Extract<
  message.Message,
  { kind: message.MessageKind.Heartbeat }
>;
type LoadMessage = Extract<message.Message, { kind: message.MessageKind.Load }>;

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
 * The two messages that are sent all the time, as plain lists of whole numbers.
 * With field names they take 36 and 200 bytes, and over 128 links several times
 * what a node may spend on control.
 */
export function toCompact(value: message.Message): number[] | undefined {
  switch (value.kind) {
    case message.MessageKind.Heartbeat:
      return [value.kind, Math.round(value.clock), value.revision];
    case message.MessageKind.Load:
      return [
        value.kind,
        Math.round(value.clock),
        value.dispatches,
        ...LOAD_FIELDS.map((field) =>
          Math.round(value.load[field] * scaleOf(field)),
        ),
      ];
    default:
      return undefined;
  }
}

/** The message of a compact list, or `undefined` if it is none. */
export function fromCompact(list: unknown[]): message.Message | undefined {
  if (!list.every((one) => typeof one === "number")) return undefined;
  const [kind, clock, third, ...rest] = list;
  switch (kind as message.MessageKind) {
    case message.MessageKind.Heartbeat:
      return heartbeat(clock, third);
    case message.MessageKind.Load:
      if (rest.length !== LOAD_FIELDS.length) return undefined;
      return loadMessage(clock, third, rest);
    default:
      return undefined;
  }
}

function heartbeat(clock: number, revision: number): HeartbeatMessage {
  return { kind: message.MessageKind.Heartbeat, clock, revision };
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
  return { kind: message.MessageKind.Load, load, clock, dispatches };
}

function scaleOf(field: string): number {
  return TIME_FIELDS.has(field) ? MICROSECONDS : 1;
}
