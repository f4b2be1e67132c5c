import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as hono from "hono";
import * as neverthrow from "neverthrow";
import type * as http from "node:http";
import * as zod from "zod";
import type * as entryContext from "../entry/entry_context.ts";
import * as changeConfiguration from "./change_configuration.ts";
import * as describeEntry from "./describe_entry.ts";
import * as inForceReport from "./in_force_report.ts";
import * as operatorKey from "./operator_key.ts";
import * as requestListener from "./request_listener.ts";
import * as problem from "./problem.ts";
import type * as remoteOperations from "./remote_operations.ts";

const BASE = { baseRevision: zod.number().int().min(0) };
const APPLY_BODY = zod.strictObject({ ...BASE, document: zod.unknown() });
const USE_BODY = zod.strictObject({ ...BASE, preset: zod.string() });
const PRESET_BODY = zod.strictObject({ ...BASE, preset: zod.unknown() });
const ADJUST_BODY = zod.strictObject({
  ...BASE,
  change: zod.record(zod.string(), zod.unknown()),
});
const EVACUATION_BODY = zod.strictObject({ ...BASE, evacuated: zod.boolean() });
const DRAIN_BODY = zod.strictObject({ host: zod.string() });

/** Handler of the operators' listener of an entry process. */
export function operatorHandler(parameters: {
  context: entryContext.EntryContext;
  remote: remoteOperations.RemoteOperations;
}): http.RequestListener {
  const { context, remote } = parameters;
  const application = new hono.Hono();
  application.use("*", async (request, next) => {
    const header = request.req.header("authorization");
    if (isOperator(context, common.bearerToken(header))) return next();
    return problem.problemResponse({
      status: 401,
      title: "An operator's key is needed",
      outcome: problem.Outcome.NotRun,
      reason: "unauthorized",
    });
  });
  application.get("/admin/v1/configuration", () => showConfiguration(context));
  application.get("/admin/v1/status", () =>
    Response.json(describeEntry.describeStatus(context)),
  );
  application.get("/admin/v1/hosts", () =>
    Response.json(describeEntry.describeHosts(context)),
  );
  application.get("/admin/v1/state", async (request) => {
    const host = request.req.query("host") ?? context.settings.host;
    const state = await remote.state(host);
    return state === undefined ? unreachable(host) : Response.json(state);
  });
  application.get("/admin/v1/in-force/:revision", (request) => {
    const revision = Number(request.req.param("revision"));
    const report = inForceReport.reportInForce(context, revision);
    return Response.json(report);
  });
  application.get("/admin/v1/evacuations", () =>
    Response.json(describeEntry.describeEvacuations(context)),
  );
  application.get("/admin/v1/rate-limits", () =>
    Response.json(describeEntry.describeRateLimits(context)),
  );
  application.get("/admin/v1/quarantine", () =>
    Response.json(context.quarantine.cases()),
  );
  application.delete("/admin/v1/quarantine/:fingerprint", (request) => {
    const fingerprint = request.req.param("fingerprint");
    if (context.quarantine.lift(fingerprint)) {
      return Response.json({ fingerprint, lifted: true });
    }
    return problem.problemResponse(problem.notInQuarantine(fingerprint));
  });
  application.post("/admin/v1/drain", async (request) => {
    const body = await readJson(request, DRAIN_BODY);
    if (body.isErr()) return problem.problemResponse(body.error);
    const { host } = body.value;
    const reached = await remote.drain(host);
    if (!reached) return unreachable(host);
    return Response.json({ host, draining: true });
  });
  addChanges(application, context);
  return requestListener.requestListener(application);
}

function addChanges(
  application: hono.Hono,
  context: entryContext.EntryContext,
): void {
  application.put("/admin/v1/configuration", async (request) => {
    const body = await readJson(request, APPLY_BODY);
    if (body.isErr()) return problem.problemResponse(body.error);
    const { baseRevision, document } = body.value;
    const edit = () => neverthrow.ok(document);
    return change(context, request, baseRevision, edit);
  });
  application.put("/admin/v1/preset-in-force", async (request) => {
    const body = await readJson(request, USE_BODY);
    if (body.isErr()) return problem.problemResponse(body.error);
    const { baseRevision, preset } = body.value;
    const edit = (document: configuration.Document) =>
      usePreset(document, preset);
    return change(context, request, baseRevision, edit);
  });
  application.post("/admin/v1/presets", async (request) => {
    const body = await readJson(request, PRESET_BODY);
    if (body.isErr()) return problem.problemResponse(body.error);
    const { baseRevision, preset } = body.value;
    const edit = (document: configuration.Document) =>
      neverthrow.ok({ ...document, presets: [...document.presets, preset] });
    return change(context, request, baseRevision, edit);
  });
  application.put("/admin/v1/evacuations/:dataCentre", async (request) => {
    const body = await readJson(request, EVACUATION_BODY);
    if (body.isErr()) return problem.problemResponse(body.error);
    const { baseRevision, evacuated } = body.value;
    const dataCentre = request.req.param("dataCentre");
    const edit = (document: configuration.Document) =>
      setEvacuated(document, dataCentre, evacuated);
    return change(context, request, baseRevision, edit);
  });
  application.patch("/admin/v1/presets/:name", async (request) => {
    const body = await readJson(request, ADJUST_BODY);
    if (body.isErr()) return problem.problemResponse(body.error);
    const { baseRevision, change: wanted } = body.value;
    const name = request.req.param("name");
    const edit = (document: configuration.Document) =>
      adjustPreset(document, name, wanted);
    return change(context, request, baseRevision, edit);
  });
}

/** Commits a change and, unless told not to wait, says how far it is in force. */
async function change(
  context: entryContext.EntryContext,
  request: hono.Context,
  baseRevision: number,
  edit: changeConfiguration.Edit,
): Promise<Response> {
  const changed = await changeConfiguration.changeConfiguration({
    context,
    baseRevision,
    edit,
  });
  if (changed.isErr()) return problem.problemResponse(changed.error);
  const { revision } = changed.value;
  const report =
    request.req.query("wait") === "no"
      ? inForceReport.reportInForce(context, revision)
      : await inForceReport.awaitInForce(context, revision);
  return Response.json({ ...changed.value, ...report });
}

function usePreset(
  document: configuration.Document,
  preset: string,
): neverthrow.Result<configuration.Document, problem.Problem> {
  const names = document.presets.map(({ name }) => name);
  if (names.includes(preset)) {
    return neverthrow.ok({ ...document, presetInForce: preset });
  }
  return neverthrow.err(noPreset(preset, names));
}

function setEvacuated(
  document: configuration.Document,
  dataCentre: string,
  evacuated: boolean,
): neverthrow.Result<configuration.Document, problem.Problem> {
  const others = document.evacuations.filter((name) => name !== dataCentre);
  const evacuations = evacuated ? [...others, dataCentre] : others;
  return neverthrow.ok({ ...document, evacuations });
}

/** Changes some fields of a preset; those of `placement` one by one too. */
function adjustPreset(
  document: configuration.Document,
  name: string,
  wanted: Record<string, unknown>,
): neverthrow.Result<unknown, problem.Problem> {
  const names = document.presets.map((preset) => preset.name);
  if (!names.includes(name)) return neverthrow.err(noPreset(name, names));
  const presets = document.presets.map((preset) => {
    if (preset.name !== name) return preset;
    const placement = {
      ...preset.placement,
      ...(wanted.placement as object | undefined),
    };
    return { ...preset, ...wanted, placement };
  });
  return neverthrow.ok({ ...document, presets });
}

function noPreset(name: string, names: string[]): problem.Problem {
  return {
    status: 404,
    title: `There is no preset ${JSON.stringify(name)}`,
    outcome: problem.Outcome.NotRun,
    reason: "preset-not-found",
    detail: `use one of ${names.join(", ")}`,
  };
}

function showConfiguration(context: entryContext.EntryContext): Response {
  const { view } = context.keeper;
  if (!view) return Response.json({ revision: 0, document: null });
  const { revision } = view.head;
  return Response.json({ revision, document: view.document });
}

/**
 * Operators of the configuration, and those of the settings: the latter make
 * the first change possible, and one after all configured keys were lost.
 */
function isOperator(
  context: entryContext.EntryContext,
  key: string | undefined,
): boolean {
  if (key === undefined) return false;
  const { settings, keeper } = context;
  if (operatorKey.isSettingsOperator(key, settings.operatorKeyHashes)) {
    return true;
  }
  return keeper.view?.operatorOfKey(key) !== undefined;
}

async function readJson<T>(
  request: hono.Context,
  schema: zod.ZodType<T>,
): Promise<neverthrow.Result<T, problem.Problem>> {
  const text = await request.req.text();
  return common.validateJson(schema, text).mapErr((problems) => ({
    status: 400,
    title: "The request is not valid",
    outcome: problem.Outcome.NotRun,
    reason: "invalid-request",
    detail: problems.map(common.describeProblem).join("\n"),
  }));
}

function unreachable(host: string): Response {
  return problem.problemResponse({
    status: 404,
    title: `Host ${JSON.stringify(host)} cannot be reached from here`,
    outcome: problem.Outcome.NotRun,
    reason: "host-not-reached",
    detail: "check the name with `geraniumkeel hosts`",
  });
}
