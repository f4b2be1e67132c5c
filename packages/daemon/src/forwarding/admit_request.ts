import type * as traffic from "@geraniumkeel/traffic";
import * as callerRequest from "./caller_request.ts";

/**
 * Retry delay sent to a caller while this entry has no configuration, or one
 * that may be outdated.
 */
const NOT_READY_RETRY_MILLISECONDS = 500;

/** A request that may be forwarded to a runner. */
export interface AdmittedRequest {
  kind: "admitted";
  route: traffic.Route;
  /** `undefined` if the route needs no key. */
  account: traffic.Account | undefined;
  /** 0 is most urgent. */
  urgency: number;
}

/** A request that this entry refuses. */
export interface RefusedRequest {
  kind: "refused";
  refusal: callerRequest.Refusal;
}

/**
 * Decides by the configuration whether a request may be forwarded. `proofAge`
 * is the time in milliseconds for which this entry may have missed a newer
 * configuration. Beyond `maxProofAgeMilliseconds` a key may have been revoked
 * without this entry knowing, so it runs no request that needs a key. Nor does
 * it call a key or route unknown then, because a newer configuration may
 * contain it.
 */
export function admitRequest(parameters: {
  request: callerRequest.RequestHead;
  view: traffic.TrafficView | undefined;
  proofAge: number;
  maxProofAgeMilliseconds: number;
}): AdmittedRequest | RefusedRequest {
  const { request, view, proofAge, maxProofAgeMilliseconds } = parameters;
  if (!view) return notRun("no configuration yet");
  const stale = proofAge > maxProofAgeMilliseconds;
  const route = view.route(request.host, request.path);
  if (!route) {
    if (stale) return notRun("configuration may be old");
    return refused(callerRequest.RefusalKind.NoRoute, "no such route");
  }
  if (!view.needsKey(route)) {
    return admitted(view, route, undefined);
  }
  if (stale) return notRun("keys may be old");
  const account = view.account(request.key ?? "");
  if (account) return admitted(view, route, account);
  return refused(callerRequest.RefusalKind.UnknownKey, "no such key");
}

function admitted(
  view: traffic.TrafficView,
  route: traffic.Route,
  account: traffic.Account | undefined,
): AdmittedRequest {
  const urgency = view.urgency(route, account);
  return { kind: "admitted", route, account, urgency };
}

function notRun(reason: string): RefusedRequest {
  const kind = callerRequest.RefusalKind.NotRun;
  const retryAfterMilliseconds = NOT_READY_RETRY_MILLISECONDS;
  return { kind: "refused", refusal: { kind, reason, retryAfterMilliseconds } };
}

function refused(
  kind: callerRequest.RefusalKind,
  reason: string,
): RefusedRequest {
  const refusal = { kind, reason, retryAfterMilliseconds: 0 };
  return { kind: "refused", refusal };
}
