import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import * as compact from "./compact.ts";
import * as meshContent from "./mesh_content.ts";
import type * as message from "./message.ts";
import * as messageKind from "./message_kind.ts";

const packer = new msgpackr.Packr({
  useRecords: false,
  encodeUndefinedAsNil: true,
});
const KINDS = new Set<unknown>(
  Object.values(messageKind.MessageKind).filter(
    (kind) => typeof kind === "number",
  ),
);

/** A frame that is not one of our messages. */
export interface UnreadableFrame {
  kind: "unreadable-frame";
  reason: string;
}

/** Encodes a message as MessagePack. */
export function encode(value: message.Message): Uint8Array {
  return packer.pack(compact.toCompact(value) ?? value);
}

/** Decodes a frame; an unknown kind is an error, not a message. */
export function decode(
  frame: Uint8Array,
): neverthrow.Result<message.Message, UnreadableFrame> {
  try {
    const unpacked = packer.unpack(frame) as unknown;
    const value = (
      Array.isArray(unpacked) ? compact.fromCompact(unpacked) : unpacked
    ) as { kind?: unknown } | undefined;
    if (!KINDS.has(value?.kind)) {
      return unreadable(`kind ${String(value?.kind)}`);
    }
    const decoded = value as message.Message;
    // Compact lists are checked when they are read.
    if (!Array.isArray(unpacked) && !meshContent.hasMeshContent(decoded)) {
      return unreadable(`content of kind ${decoded.kind}`);
    }
    return neverthrow.ok(decoded);
  } catch (cause) {
    return unreadable((cause as Error).message);
  }
}

function unreadable(
  reason: string,
): neverthrow.Result<message.Message, UnreadableFrame> {
  return neverthrow.err({ kind: "unreadable-frame", reason });
}
