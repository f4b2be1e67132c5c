import type * as common from "@geraniumkeel/common";
import type * as readBody from "../caller_connections/read_body.ts";
import * as callerRequest from "./caller_request.ts";

/** Bodies that have memory now are sent on within this time, as a rule. */
const MEMORY_RETRY_MILLISECONDS = { least: 200, most: 1_000 };

/** What a caller is told of a body that could not be read; nothing if it has left. */
export function bodyRefusal(
  failure: readBody.BodyFailure,
  random: common.Random,
): callerRequest.Refusal | undefined {
  const { RefusalKind } = callerRequest;
  const { least, most } = MEMORY_RETRY_MILLISECONDS;
  switch (failure.kind) {
    case "too-large":
      return refusal(RefusalKind.BodyTooLarge, "body too large");
    case "too-slow":
      return refusal(RefusalKind.BodyTooSlow, "body not read in time");
    case "no-memory": {
      const retryAfterMilliseconds = random.between(least, most);
      return {
        ...refusal(RefusalKind.NotRun, "no memory for the body"),
        retryAfterMilliseconds,
      };
    }
    case "broken":
      return undefined;
  }
}

function refusal(
  kind: callerRequest.RefusalKind,
  reason: string,
): callerRequest.Refusal {
  return { kind, reason, retryAfterMilliseconds: 0 };
}
