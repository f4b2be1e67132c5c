import * as nodeServer from "@hono/node-server";
import * as nodeResponse from "@hono/node-server/utils/response";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as hono from "hono";
import type * as http from "node:http";
import * as requestListener from "../operator/request_listener.ts";
import * as problem from "../operator/problem.ts";
import * as acceptWork from "./accept_work.ts";
import type * as entryContext from "./entry_context.ts";
import * as entryList from "./entry_list.ts";
import * as generateHandler from "./generate_handler.ts";
import * as openAi from "./open_ai.ts";
import * as plainHandler from "./plain_handler.ts";
import * as problems from "./problems.ts";

type Environment = { Bindings: nodeServer.HttpBindings };

/** Handler of the callers' listener. */
export function callerHandler(
  context: entryContext.EntryContext,
): http.RequestListener {
  const application = new hono.Hono<Environment>();
  const { GenerationInterface } = openAi;
  application.get("/v1/entries", (request) => listEntries(context, request));
  application.get("/v1/models", (request) => listModels(context, request));
  application.post("/v1/chat/completions", (request) =>
    generate(context, request, GenerationInterface.Chat),
  );
  application.post("/v1/completions", (request) =>
    generate(context, request, GenerationInterface.Completion),
  );
  application.all(`${plainHandler.SERVICES_PREFIX}*`, (request) =>
    callPlain(context, request),
  );
  application.notFound(() =>
    problem.problemResponse(
      problems.refusal(404, "not-found", "There is nothing at this path"),
    ),
  );
  return requestListener.requestListener(application);
}

type Request = hono.Context<Environment>;

function listEntries(
  context: entryContext.EntryContext,
  request: Request,
): Response {
  const view = proveAccount(context, request);
  if (view instanceof Response) return view;
  const key = common.bearerToken(request.req.header("authorization")) ?? "";
  const name = view.accountOfKey(key)?.name ?? "";
  const { members, random, settings, hosts } = context;
  const list = entryList.entryList({
    members: members.all,
    account: { name, share: view.shareOf(name) },
    isEvacuated: (place) => context.evacuations.isEvacuated(place),
    isNear: (host) => hosts.hosts.get(host)?.region === settings.region,
    random,
  });
  return Response.json(list);
}

function listModels(
  context: entryContext.EntryContext,
  request: Request,
): Response {
  const view = proveAccount(context, request);
  if (view instanceof Response) return view;
  const data = view.document.services
    .filter((service) => service.kind === configuration.ServiceKind.Model)
    .map(({ name }) => ({
      id: name,
      object: "model",
      created: 0,
      owned_by: "geraniumkeel",
    }));
  return Response.json({ object: "list", data });
}

/** Lists are given also while work is refused: they say where to go instead. */
function proveAccount(
  context: entryContext.EntryContext,
  request: Request,
): configuration.ConfigurationView | Response {
  const header = request.req.header("authorization");
  const welcome = acceptWork.welcomeCaller(context, header);
  const { view } = context.keeper;
  if (welcome.isOk()) return welcome.value.view;
  const { reason } = welcome.error;
  const known = reason !== "unauthorized" && reason !== "not-ready";
  if (known && view) return view;
  return problem.problemResponse(welcome.error);
}

async function generate(
  context: entryContext.EntryContext,
  request: Request,
  kind: openAi.GenerationInterface,
): Promise<Response> {
  const { incoming, outgoing } = request.env;
  const header = request.req.header("authorization");
  const welcome = acceptWork.welcomeCaller(context, header);
  if (welcome.isErr()) return problem.problemResponse(welcome.error);
  await generateHandler.handleGeneration({
    context,
    welcome: welcome.value,
    incoming: incoming,
    response: outgoing,
    kind,
  });
  return nodeResponse.RESPONSE_ALREADY_SENT;
}

async function callPlain(
  context: entryContext.EntryContext,
  request: Request,
): Promise<Response> {
  const { incoming, outgoing } = request.env;
  const header = request.req.header("authorization");
  const welcome = acceptWork.welcomeCaller(context, header);
  if (welcome.isErr()) return problem.problemResponse(welcome.error);
  await plainHandler.handlePlain({
    context,
    welcome: welcome.value,
    incoming: incoming,
    response: outgoing,
  });
  return nodeResponse.RESPONSE_ALREADY_SENT;
}
