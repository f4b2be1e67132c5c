import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";
import type * as http from "node:http";
import type * as wire from "@geraniumkeel/wire";
import * as endingMark from "./ending_mark.ts";
import * as engineGroup from "./engine_group.ts";
import * as engineOrders from "./engine_orders.ts";
import type * as engineRank from "./engine_rank.ts";
import type * as sequence from "./sequence.ts";
import * as serveModule from "./serve.ts";

const WAIT_MILLISECONDS = 1_000;
const BREAK_AFTER_TOKENS = 3;

/** A running engine group with one server per rank. */
export interface EngineStandIn {
  group: engineGroup.EngineGroup;
  /** Base URL of each rank's engine. */
  urls: string[];
  close: () => Promise<void>;
}

/** Starts a group; rank r listens on `port + r`, or any port if 0. */
export async function startEngine(
  options: engineGroup.GroupOptions,
  port = 0,
): Promise<EngineStandIn> {
  const group = new engineGroup.EngineGroup(options);
  const servings: serveModule.Serving[] = await Promise.all(
    group.ranks.map((rank, index) =>
      serveModule.serveHandler(
        (request, response) => void handle(rank, request, response),
        port === 0 ? 0 : port + index,
      ),
    ),
  );
  group.ranks.forEach((rank, index) => {
    rank.onEnd = () => servings[index].bounce(endingMark.RETURN_MILLISECONDS);
  });
  group.start();
  return {
    group,
    urls: servings.map(({ url }) => url),
    close: async () => {
      await group.close();
      await Promise.all(servings.map((serving) => serving.close()));
    },
  };
}

async function handle(
  rank: engineRank.EngineRank,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const { group } = rank.parameters;
  const url = new URL(request.url ?? "/", "http://engine");
  const body = await readText(request);
  if (body === undefined) return;
  const route = `${request.method} ${url.pathname.replace(/\/generate\/.*/, "/generate/")}`;
  const identifier = decodeURIComponent(url.pathname.split("/")[2] ?? "");
  switch (route) {
    case "POST /generate":
      return generate(rank, JSON.parse(body) as engine.GenerateCall, response);
    case "GET /generate/": {
      const known = rank.sequencesById.get(identifier);
      tellArrival(rank);
      if (!known) return send(response, 404, { reason: "unknown sequence" });
      const from = Number(url.searchParams.get("from") ?? 0);
      return stream(rank, known, from, response);
    }
    case "DELETE /generate/":
      rank.cancel(identifier);
      return send(response, 200, {});
    case "GET /load": {
      const report = engineGroup.reportOf(rank);
      await common.sleep(0);
      return send(response, 200, lagged(rank, report));
    }
    case "GET /events": {
      const after = Number(url.searchParams.get("after") ?? 0);
      const events = rank.events.filter((event) => event.sequence > after);
      return send(response, 200, events);
    }
    case "POST /orders":
      return order(rank, JSON.parse(body) as wire.EngineOrder, response);
    case "GET /history":
      return send(response, 200, describeHistory(group));
    case "PUT /faults":
      Object.assign(group.faults, JSON.parse(body));
      return send(response, 200, group.faults);
    case "POST /stall": {
      const { milliseconds } = JSON.parse(body) as { milliseconds: number };
      group.faults.stalledUntil = common.now() + milliseconds;
      return send(response, 200, {});
    }
    default:
      return send(response, 404, { reason: "no such path" });
  }
}

/** What a group did, with every identifier's number of starts. */
export function describeHistory(
  group: engineGroup.EngineGroup,
): engineGroup.GroupHistory & { startedTwice: string[]; starts: number } {
  const startedTwice: string[] = [];
  let starts = 0;
  for (const rank of group.ranks) {
    for (const [identifier, count] of rank.starts) {
      starts += count;
      if (count > 1) startedTwice.push(identifier);
    }
  }
  return { ...group.history, startedTwice, starts };
}

const reports = new WeakMap<
  engineRank.EngineRank,
  { at: number; report: engine.EngineLoad }[]
>();

/** The newest report that is at least as old as the lag. */
function lagged(
  rank: engineRank.EngineRank,
  report: engine.EngineLoad,
): engine.EngineLoad {
  const kept = reports.get(rank) ?? [];
  reports.set(rank, kept);
  const now = common.now();
  kept.push({ at: now, report });
  const { reportLagMilliseconds } = rank.parameters.group.faults;
  const until = now - reportLagMilliseconds;
  while (kept.length > 1 && kept[1].at <= until) kept.shift();
  return kept[0].report;
}

async function generate(
  rank: engineRank.EngineRank,
  call: engine.GenerateCall,
  response: http.ServerResponse,
): Promise<void> {
  const { faults } = rank.parameters.group;
  tellArrival(rank);
  if (faults.restingRank === rank.parameters.rank) {
    response.writeHead(503, { "retry-after": faults.restWanted });
    response.end(JSON.stringify({ reason: "resting" }));
    return;
  }
  if (faults.refuseCalls > 0) {
    faults.refuseCalls--;
    return send(response, 503, { reason: "refused" });
  }
  const added = rank.add(call);
  const after = endingMark.endsAfter(call.prompt);
  if (after !== undefined) setTimeout(() => rank.end(), after);
  return stream(rank, added, 0, response);
}

/** Tells the group of a call that arrived at a rank. */
function tellArrival(rank: engineRank.EngineRank): void {
  const { group, rank: number } = rank.parameters;
  const { limitedRank, rateLimit, restingRank, restWanted } = group.faults;
  group.onArrival?.({
    rank: number,
    perSecond: limitedRank === number ? Number(rateLimit) : undefined,
    restMilliseconds:
      restingRank === number ? Number(restWanted) * 1_000 : undefined,
  });
}

async function stream(
  rank: engineRank.EngineRank,
  one: sequence.Sequence,
  from: number,
  response: http.ServerResponse,
): Promise<void> {
  const { faults } = rank.parameters.group;
  const breaks = faults.breakStreams > 0;
  if (breaks) faults.breakStreams--;
  response.writeHead(200, {
    "content-type": "application/x-ndjson",
    ...(faults.limitedRank === rank.parameters.rank && {
      [engine.RATE_LIMIT_HEADER]: faults.rateLimit,
    }),
  });
  let index = from;
  while (!response.destroyed) {
    let lines = "";
    for (; index < one.tokens.length; index++) {
      const kind = engine.EngineItemKind.Token;
      lines += `${JSON.stringify({ kind, index, text: one.tokens[index] })}\n`;
    }
    if (lines && !response.write(lines)) {
      await new Promise((resolve) => {
        response.once("drain", resolve);
        response.once("close", resolve);
      });
    }
    if (breaks && index >= BREAK_AFTER_TOKENS) {
      response.destroy();
      return;
    }
    if (one.ended !== undefined && index >= one.tokens.length) break;
    await one.changed.next(WAIT_MILLISECONDS);
  }
  const kind = engine.EngineItemKind.Finish;
  const { promptTokens, ended: reason } = one;
  response.end(`${JSON.stringify({ kind, reason, promptTokens })}\n`);
}

async function order(
  rank: engineRank.EngineRank,
  given: wire.EngineOrder,
  response: http.ServerResponse,
): Promise<void> {
  const { faults } = rank.parameters.group;
  if (faults.orderDelayMilliseconds > 0) {
    await common.sleep(faults.orderDelayMilliseconds);
  }
  if (given.kind === faults.dropOrders) {
    response.destroy();
    return;
  }
  const answer = engineOrders.takeOrder(rank, given);
  if (faults.loseOrderAnswers > 0) {
    faults.loseOrderAnswers--;
    response.destroy();
    return;
  }
  if ("refusal" in answer) {
    return send(response, 409, { reason: answer.refusal });
  }
  return send(response, 200, answer.state);
}

async function readText(
  request: http.IncomingMessage,
): Promise<string | undefined> {
  let text = "";
  request.setEncoding("utf8");
  try {
    for await (const chunk of request) text += chunk as string;
  } catch {
    return undefined;
  }
  return text;
}

function send(
  response: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
