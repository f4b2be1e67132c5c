import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";
import * as hono from "hono";
import * as serveModule from "./serve.ts";
import * as tableData from "./table_data.ts";

/** Faults of the platform, switched by `PUT /faults`. */
export interface PlatformFaults {
  /** Answers 503 without effect. */
  down: boolean;
  /** Never answers, without effect. */
  silent: boolean;
  /** Delay of every answer in milliseconds. */
  slowMilliseconds: number;
  /** Transactions that take effect and whose answer is lost. */
  loseAnswers: number;
  /** Transactions whose answer is lost and that take effect only later. */
  delayEffects: number;
  delayEffectMilliseconds: number;
  /** Age of the host list that readers see, in milliseconds. */
  hostListLagMilliseconds: number;
  /** Reads of the head that answer with the oldest head seen. */
  staleReads: boolean;
}

const NO_FAULTS: PlatformFaults = {
  down: false,
  silent: false,
  slowMilliseconds: 0,
  loseAnswers: 0,
  delayEffects: 0,
  delayEffectMilliseconds: 0,
  hostListLagMilliseconds: 0,
  staleReads: false,
};

/** A running stand-in of the platform. */
export interface PlatformStandIn extends serveModule.Serving {
  table: tableData.TableData;
  faults: PlatformFaults;
  setHosts: (hosts: backingServices.Host[]) => void;
  hosts: () => backingServices.Host[];
}

/** Starts a stand-in of table service, object store and host list. */
export async function startPlatform(port = 0): Promise<PlatformStandIn> {
  const table = new tableData.TableData();
  const faults = { ...NO_FAULTS };
  const objects = new Map<string, string>();
  const lists: { at: number; hosts: backingServices.Host[] }[] = [];
  const setHosts = (hosts: backingServices.Host[]) => {
    lists.push({ at: common.now(), hosts });
  };
  const firstRows = new Map<string, backingServices.SentRow>();
  const application = new hono.Hono();
  application.get("/faults", () => Response.json(faults));
  application.put("/faults", async (request) => {
    Object.assign(faults, await request.req.json());
    return Response.json(faults);
  });
  application.put("/hosts", async (request) => {
    setHosts(await request.req.json());
    return Response.json({});
  });
  application.get("/counts", () => {
    const { reads, writes } = table;
    return Response.json({ reads, writes });
  });
  application.use("*", async (request, next) => {
    if (faults.silent) await new Promise(() => {});
    if (faults.down) return new Response("down", { status: 503 });
    if (faults.slowMilliseconds > 0)
      await common.sleep(faults.slowMilliseconds);
    await next();
    request.header("Table-Epoch", String(table.epoch));
    return undefined;
  });
  application.get("/hosts", (request) => {
    const until = common.now() - faults.hostListLagMilliseconds;
    const seen = lists.filter(({ at }) => at <= until).at(-1) ?? lists[0];
    const etag = `"${lists.indexOf(seen)}"`;
    if (request.req.header("if-none-match") === etag) {
      return new Response(null, { status: 304, headers: { etag } });
    }
    return Response.json(seen?.hosts ?? [], { headers: { etag } });
  });
  application.get("/table/row", (request) => {
    const key = request.req.query("key") ?? "";
    const row = table.get(key);
    if (row && !firstRows.has(key)) firstRows.set(key, row);
    const answer = faults.staleReads ? firstRows.get(key) : row;
    return answer ? Response.json(answer) : new Response("", { status: 404 });
  });
  application.get("/table/rows", (request) => {
    const { from = "", to = "", limit = "100" } = request.req.query();
    return Response.json(table.range(from, to, Number(limit)));
  });
  application.post("/table/transaction", async (request) => {
    const transaction =
      await request.req.json<backingServices.SentTransaction>();
    return answerTransaction(table, faults, transaction);
  });
  application.get("/objects/:name", (request) => {
    const body = objects.get(request.req.param("name"));
    if (body === undefined) return new Response("", { status: 404 });
    return Response.json({ body });
  });
  application.put("/objects/:name", async (request) => {
    const { body } = await request.req.json<{ body: string }>();
    objects.set(request.req.param("name"), body);
    return Response.json({});
  });
  const serving = await serveModule.serve(application, port);
  const hosts = () => lists.at(-1)?.hosts ?? [];
  return { ...serving, table, faults, setHosts, hosts };
}

async function answerTransaction(
  table: tableData.TableData,
  faults: PlatformFaults,
  transaction: backingServices.SentTransaction,
): Promise<Response> {
  if (faults.delayEffects > 0) {
    faults.delayEffects--;
    const { delayEffectMilliseconds } = faults;
    setTimeout(() => table.transact(transaction), delayEffectMilliseconds);
    return new Response("lost", { status: 500 });
  }
  const outcome = table.transact(transaction);
  if (faults.loseAnswers > 0) {
    faults.loseAnswers--;
    return new Response("lost", { status: 500 });
  }
  switch (outcome.kind) {
    case "committed":
      return Response.json({ revisions: outcome.revisions });
    case "conflict":
      return Response.json({ rows: outcome.rows }, { status: 409 });
  }
}
