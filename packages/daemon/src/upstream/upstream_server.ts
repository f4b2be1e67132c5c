import * as common from "@geraniumkeel/common";
import * as hono from "hono";
import type * as http from "node:http";
import * as operatorKey from "../operator/operator_key.ts";
import * as requestListener from "../operator/request_listener.ts";
import * as problem from "../operator/problem.ts";
import type * as upstreamContext from "./upstream_context.ts";

/** Operator's interface of an upstream process: state and drain. */
export function upstreamOperatorHandler(
  context: upstreamContext.UpstreamContext,
): http.RequestListener {
  const application = new hono.Hono();
  application.use("*", async (request, next) => {
    const key = common.bearerToken(request.req.header("authorization"));
    const hashes = context.settings.operatorKeyHashes;
    if (operatorKey.isSettingsOperator(key, hashes)) return next();
    return problem.problemResponse({
      status: 401,
      title: "An operator's key is needed",
      outcome: problem.Outcome.NotRun,
      reason: "unauthorized",
    });
  });
  application.get("/admin/v1/state", (request) =>
    request.json(context.state() as object),
  );
  application.post("/admin/v1/drain", (request) => {
    context.drain();
    return request.json({ draining: true });
  });
  return requestListener.requestListener(application);
}
