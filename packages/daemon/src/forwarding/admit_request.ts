import type * as traffic from "@geraniumkeel/traffic";
import * as callerRequest from "./caller_request.ts";

/** When a caller is told to come back to an entry that knows too little. */
const NOT_READY_RETRY_MILLISECONDS = 500;

/** A request that may be passed on. */
export interface AdmittedRequest {
  kind: "admitted";
  route: traffic.Route;
  /** `undefined` if the route needs no key. */
  account: traffic.Account | undefined;
}

/** A request that is answered here. */
export interface RefusedRequest {
  kind: "refused";
  refusal: callerRequest.Refusal;
}

/**
 * Whether the configuration lets a request through. `proofAge` is how long a
 * newer configuration may have gone unseen: past `longestProofAge` a key may have
 * been taken away without our knowing, so keyed requests are not run, and an
 * unknown key or route is not called wrong either.
 */
export function admitRequest(parameters: {
  request: callerRequest.CallerRequest;
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
    return { kind: "admitted", route, account: undefined };
  }
  if (stale) return notRun("keys may be old");
  const account = view.account(request.key ?? "");
  if (account) return { kind: "admitted", route, account };
  return refused(callerRequest.RefusalKind.UnknownKey, "no such key");
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
