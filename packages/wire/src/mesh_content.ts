import type * as message from "./message.ts";
import * as messageKind from "./message_kind.ts";

/**
 * Whether an unpacked message between entries, sent with field names, has the
 * lists and objects that its readers walk through. A reader that met a missing
 * one would throw, which stops the process. Plain fields are not checked, as
 * other builds may lack some. Messages of other links are not checked here.
 */
export function hasMeshContent(value: message.Message): boolean {
  switch (value.kind) {
    case messageKind.MessageKind.MeshHello:
      return isMember(value.member) && isListOf(value.others, isMember);
    case messageKind.MessageKind.MeshHeartbeat:
    case messageKind.MessageKind.MeshLoad:
      // These are sent as plain lists only, which are checked when they are read.
      return false;
    case messageKind.MessageKind.MeshConfiguration:
    case messageKind.MessageKind.MeshRunners:
    case messageKind.MessageKind.MeshEvacuations:
      return (
        typeof value.version === "number" && value.packed instanceof Uint8Array
      );
    case messageKind.MessageKind.Suspicions:
      return isListOf(value.ends, isCrash) && Array.isArray(value.held);
    case messageKind.MessageKind.RateLimitReports:
      return isListOf(value.limits, isObject);
    default:
      return true;
  }
}

function isMember(value: unknown): boolean {
  return isObject(value) && typeof value.host === "string";
}

function isCrash(value: unknown): boolean {
  if (!isObject(value)) return false;
  return Array.isArray(value.seenBy) && isListOf(value.suspicions, isObject);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem);
}
