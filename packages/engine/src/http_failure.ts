import * as engine from "./engine.ts";

const NOT_SENT_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Whether a failed call certainly never reached the far end. */
export function wasNotSent(cause: unknown): boolean {
  return NOT_SENT_CODES.has((cause as { code?: string }).code ?? "");
}

/** The last item of a stream that failed. */
export function itemOfFailure(cause: unknown): engine.EngineItem {
  const reason = (cause as Error).message;
  const kind = wasNotSent(cause)
    ? engine.EngineItemKind.NotStarted
    : engine.EngineItemKind.Broken;
  return { kind, reason };
}
