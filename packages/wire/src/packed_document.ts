import * as zlib from "node:zlib";
import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";

/**
 * A document as it travels between our processes: MessagePack, deflated by the fastest
 * level. Most of a configuration of hundreds of routes repeats.
 */
export type PackedDocument = Uint8Array;

const FASTEST_LEVEL = 1;
/** Largest document accepted, in bytes: several times what the store takes. */
const LARGEST_DOCUMENT = 32 * 1024 * 1024;

const packer = new msgpackr.Packr({
  useRecords: false,
});

/** Packs a document. */
export function packDocument(document: object): PackedDocument {
  const packed = packer.pack(document);
  return zlib.deflateRawSync(packed, { level: FASTEST_LEVEL });
}

/** Unpacks a document of a kind that the message around it tells. */
export function unpackDocument<T extends object>(
  packed: PackedDocument,
): neverthrow.Result<T, string> {
  try {
    const inflated = zlib.inflateRawSync(packed, {
      maxOutputLength: LARGEST_DOCUMENT,
    });
    return neverthrow.ok(packer.unpack(inflated) as T);
  } catch (cause) {
    return neverthrow.err((cause as Error).message);
  }
}
