import * as common from "@geraniumkeel/common";
import type * as http from "node:http";
import * as endingMark from "./ending_mark.ts";
import * as serveModule from "./serve.ts";

/** Faults of the plain service. */
export interface PlainFaults {
  delayMilliseconds: number;
  /** Calls that count and whose answer breaks off. */
  breakAnswers: number;
  /** Calls refused by closing the connection before anything counts. */
  dropCalls: number;
  /** Requests a second that its answers name; empty for none. */
  rateLimit: string;
  /** `Retry-After` with which calls are turned away; empty while they run. */
  restWanted: string;
}

/** A running stand-in of a plain service, whose calls count. */
export interface PlainStandIn extends serveModule.Serving {
  /** Times each call was run, by its `x-call` header. */
  calls: Map<string, number>;
  faults: PlainFaults;
  /** Times that a request ended it. */
  ends: number;
  /** When calls were turned away. */
  turnedAway: number[];
  /** Called when a call starts to count. */
  onCall: ((call: string) => void) | undefined;
}

/** Starts a plain service that counts its calls by their `x-call` header. */
export async function startPlain(port = 0): Promise<PlainStandIn> {
  const calls = new Map<string, number>();
  const faults: PlainFaults = {
    delayMilliseconds: 0,
    breakAnswers: 0,
    dropCalls: 0,
    rateLimit: "",
    restWanted: "",
  };
  const serving = await serveModule.serveHandler((request, response) => {
    const onCall = (call: string) => standIn.onCall?.(call);
    const onEnd = () => {
      standIn.ends++;
      serving.bounce(endingMark.RETURN_MILLISECONDS);
    };
    const onTurnedAway = () => standIn.turnedAway.push(common.now());
    const parameters = { request, response, calls, faults };
    void answer({ ...parameters, onCall, onTurnedAway, onEnd });
  }, port);
  const standIn: PlainStandIn = {
    ...serving,
    calls,
    faults,
    ends: 0,
    turnedAway: [],
    onCall: undefined,
  };
  return standIn;
}

async function answer(parameters: {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  calls: Map<string, number>;
  faults: PlainFaults;
  onCall: (call: string) => void;
  onTurnedAway: () => void;
  onEnd: () => void;
}): Promise<void> {
  const { request, response, calls, faults, onCall } = parameters;
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return;
  }
  const body = Buffer.concat(chunks);
  if (request.url === "/faults" && request.method === "PUT") {
    Object.assign(faults, JSON.parse(body.toString()));
    response.end(JSON.stringify(faults));
    return;
  }
  if (request.url === "/calls") {
    response.end(JSON.stringify(Object.fromEntries(calls)));
    return;
  }
  if (faults.dropCalls > 0) {
    faults.dropCalls--;
    response.destroy();
    return;
  }
  if (faults.restWanted !== "") {
    parameters.onTurnedAway();
    response.writeHead(503, { "retry-after": faults.restWanted }).end();
    return;
  }
  const call = String(request.headers["x-call"] ?? "");
  const after = endingMark.endsAfter(body.toString("latin1"));
  calls.set(call, (calls.get(call) ?? 0) + 1);
  onCall(call);
  if (after !== undefined) {
    setTimeout(() => parameters.onEnd(), after);
    return;
  }
  if (faults.delayMilliseconds > 0)
    await common.sleep(faults.delayMilliseconds);
  const echoed = { call, method: request.method, url: request.url };
  const text = JSON.stringify({ ...echoed, received: body.byteLength });
  response.writeHead(200, {
    "content-type": "application/json",
    "x-count": String(calls.get(call)),
    ...(faults.rateLimit && { "requests-per-second": faults.rateLimit }),
  });
  if (faults.breakAnswers > 0) {
    faults.breakAnswers--;
    response.write(text.slice(0, 8));
    setTimeout(() => response.destroy(), 20);
    return;
  }
  response.end(text);
}
