import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as daemon from "@geraniumkeel/daemon";
import * as backingServices from "@geraniumkeel/backing_services";
import * as fs from "node:fs";
import * as undici from "undici";
import type * as engineGroup from "../engine_group.ts";
import * as caller from "../load/caller.ts";
import * as tallyModule from "../load/tally.ts";
import type * as childProcesses from "./child_processes.ts";
import * as deploymentModule from "./deployment.ts";

/** Figures of a demo run. */
export interface DemoResult {
  requests: number;
  tokens: number;
  whole: number;
  notRun: number;
  mayHaveRun: number;
  broken: number;
  wrong: number;
  comeBacks: number;
  details: Record<string, number>;
  confirmations: number;
  confirmationsRunTwice: number;
  firstToken: { p50: number; p95: number; p99: number };
  betweenTokens: { p50: number; p95: number; p99: number };
  /** Slowest over mean rank time, over all steps. */
  stepTimeSkew: number;
  mixedSteps: number;
  mapSwitches: number;
  presetInForceMilliseconds: number;
  entryStopCode: number | null;
  upstreamStopCode: number | null;
  accounted: boolean;
}

/** What a scenario is run with. */
export interface ScenarioParameters {
  children: childProcesses.ChildProcesses;
  folder: string;
  deployment: deploymentModule.Deployment;
  seconds: number;
  callers: number;
  seed: number;
  tell: (text: string) => void;
}

/** Share of calls that are confirmations, which may run once only. */
const CONFIRMATION_SHARE = 0.2;
const PAUSE_MILLISECONDS = 2_000;
const READY_TIMEOUT_MILLISECONDS = 20_000;

/**
 * An hour's turn in short: all callers wake at once, then go on at their own
 * pace; meanwhile the preset is switched, and an entry and an upstream host are
 * stopped as planned.
 */
export async function runScenario(
  parameters: ScenarioParameters,
): Promise<DemoResult> {
  const { children, deployment, folder, tell } = parameters;
  const started = common.now();
  const running = await deploymentModule.startDeployment(children, deployment);
  const processes = children.children.length;
  const took = Math.round(common.now() - started);
  tell(`${processes} processes started in ${took} ms`);
  await applyConfiguration(parameters, running);
  await awaitReady(parameters, running);
  tell("configuration in force, all runners linked");
  const tally = new tallyModule.Tally();
  const confirmations: string[] = [];
  const load = sendLoad(parameters, running, tally, confirmations);
  const presetInForceMilliseconds = await operate(parameters, running);
  const stopCodes = await stopTwo(parameters, running);
  await load;
  const document = readDocument(folder);
  tell(`${document.accounts.length} accounts served`);
  return summarize({
    tally,
    running,
    confirmations,
    presetInForceMilliseconds,
    ...stopCodes,
  });
}

function readDocument(folder: string): configuration.Document {
  const text = fs.readFileSync(`${folder}/configuration.json`, "utf8");
  return configuration.DOCUMENT.parse(JSON.parse(text));
}

async function tool(
  parameters: ScenarioParameters,
  running: deploymentModule.RunningDeployment,
  ...words: string[]
): Promise<string> {
  const key = deploymentModule.operatorKey(parameters.deployment);
  const { operators } = running.entries[0].urls;
  const run = { url: operators, key, words };
  const { code, output } = await parameters.children.tool(run);
  if (code !== 0) throw new Error(`${words.join(" ")}: ${code}: ${output}`);
  return output;
}

async function applyConfiguration(
  parameters: ScenarioParameters,
  running: deploymentModule.RunningDeployment,
): Promise<void> {
  const file = `${parameters.folder}/configuration.json`;
  await tool(parameters, running, "configuration", "apply", file);
}

/** Waits until every entry is linked to every runner. */
async function awaitReady(
  parameters: ScenarioParameters,
  running: deploymentModule.RunningDeployment,
): Promise<void> {
  const key = deploymentModule.operatorKey(parameters.deployment);
  const deadline = common.now() + READY_TIMEOUT_MILLISECONDS;
  for (const entry of running.entries) {
    for (;;) {
      const answer = await undici.request(
        `${entry.urls.operators}/admin/v1/status`,
        { headers: { authorization: `Bearer ${key}` } },
      );
      const status = (await answer.body.json()) as {
        revision: number;
        runners: { linked: boolean }[];
      };
      const linked = status.runners.filter((one) => one.linked).length;
      const ready = status.revision > 0 && linked === running.upstreams.length;
      if (ready) break;
      if (common.now() > deadline) throw new Error("not ready in time");
      await common.sleep(50);
    }
  }
}

async function sendLoad(
  parameters: ScenarioParameters,
  running: deploymentModule.RunningDeployment,
  tally: tallyModule.Tally,
  confirmations: string[],
): Promise<void> {
  const { folder, deployment, seconds, seed } = parameters;
  const accounts = readDocument(folder).accounts.map(({ name }) => name);
  const dispatcher = new undici.Agent({ connections: 256 });
  const until = common.now() + seconds * 1_000;
  const model = deployment.services.find(
    ({ kind }) => kind === daemon.BackEndKind.Model,
  );
  const plain = deployment.services.find(
    ({ kind }) => kind === daemon.BackEndKind.Plain,
  );
  const known = running.entries.map(({ urls }) => urls.callers);
  const one = async (number: number) => {
    const random = new common.Random(seed * 1_000 + number);
    const account = accounts[number % accounts.length];
    const key = `account-key-${account}`;
    const options = { known, key, random, dispatcher, patient: true };
    const mine = new caller.Caller(options);
    for (let turn = 0; common.now() < until; turn++) {
      if (plain && random.fraction() < CONFIRMATION_SHARE) {
        const call = `${account}-${number}-${turn}`;
        confirmations.push(call);
        const path = plain.confirmation ?? "/";
        tally.add(await mine.confirm(plain.name, path, call));
      } else if (model) {
        const prompt = `${account} ${number} ${turn}: where is it?`;
        tally.add(await mine.chat(model.name, prompt));
      }
      const pause = random.exponential(PAUSE_MILLISECONDS);
      await common.sleep(Math.min(pause, until - common.now()));
    }
  };
  const all = Array.from({ length: parameters.callers }, (_, n) => one(n));
  await Promise.all(all);
  await dispatcher.close();
}

/** Switches the preset in the middle; returns the time until in force. */
async function operate(
  parameters: ScenarioParameters,
  running: deploymentModule.RunningDeployment,
): Promise<number> {
  await common.sleep(parameters.seconds * 300);
  const key = deploymentModule.operatorKey(parameters.deployment);
  const { operators } = running.entries[0].urls;
  const client = new backingServices.HttpClient(operators, {
    timeoutMilliseconds: 10_000,
    key,
  });
  const read = await client.request("GET", "/admin/v1/configuration");
  const { revision } = JSON.parse(read._unsafeUnwrap().body) as {
    revision: number;
  };
  const started = common.now();
  const body = { baseRevision: revision, preset: "peak" };
  const path = "/admin/v1/preset-in-force";
  const changed = await client.request("PUT", path, body);
  const milliseconds = common.now() - started;
  await client.close();
  const report = JSON.parse(changed._unsafeUnwrap().body) as {
    everywhere: boolean;
  };
  if (!report.everywhere) throw new Error("preset not in force everywhere");
  parameters.tell(`preset peak in force in ${Math.round(milliseconds)} ms`);
  return milliseconds;
}

/** Stops one entry and one upstream host as planned, under load. */
async function stopTwo(
  parameters: ScenarioParameters,
  running: deploymentModule.RunningDeployment,
): Promise<{ entryStopCode: number | null; upstreamStopCode: number | null }> {
  const { children, tell } = parameters;
  const entry = running.entries[running.entries.length - 1];
  const upstream = running.upstreams[running.upstreams.length - 1];
  tell(`stopping ${entry.name} and ${upstream.name} as planned`);
  const [entryStopCode, upstreamStopCode] = await Promise.all([
    children.stop(entry, "SIGTERM"),
    children.stop(upstream, "SIGTERM"),
  ]);
  return { entryStopCode, upstreamStopCode };
}

async function summarize(parameters: {
  tally: tallyModule.Tally;
  running: deploymentModule.RunningDeployment;
  confirmations: string[];
  presetInForceMilliseconds: number;
  entryStopCode: number | null;
  upstreamStopCode: number | null;
}): Promise<DemoResult> {
  const { tally, running, confirmations } = parameters;
  const { CallOutcome } = caller;
  const calls = await readCalls(running);
  const history = await readHistory(running);
  const percentiles = (histogram: tallyModule.Tally["firstToken"]) => ({
    p50: tallyModule.percentile(histogram, 50),
    p95: tallyModule.percentile(histogram, 95),
    p99: tallyModule.percentile(histogram, 99),
  });
  const twice = confirmations.filter((call) => (calls[call] ?? 0) > 1);
  const result = {
    requests: tally.sent,
    tokens: tally.tokens,
    whole: tally.count(CallOutcome.Whole),
    notRun: tally.count(CallOutcome.NotRun),
    mayHaveRun: tally.count(CallOutcome.MayHaveRun),
    broken: tally.count(CallOutcome.Broken),
    wrong: tally.count(CallOutcome.Wrong),
    comeBacks: tally.comeBacks,
    details: Object.fromEntries(tally.details),
    confirmations: confirmations.length,
    confirmationsRunTwice: twice.length,
    firstToken: percentiles(tally.firstToken),
    betweenTokens: percentiles(tally.betweenTokens),
    stepTimeSkew: history.slowestSum / Math.max(history.meanSum, 1e-9),
    mixedSteps: history.mixedSteps,
    mapSwitches: history.switches,
    presetInForceMilliseconds: parameters.presetInForceMilliseconds,
    entryStopCode: parameters.entryStopCode,
    upstreamStopCode: parameters.upstreamStopCode,
  };
  const accounted =
    result.whole + result.notRun === result.requests &&
    twice.length === 0 &&
    result.mixedSteps === 0 &&
    result.entryStopCode === 0 &&
    result.upstreamStopCode === 0;
  return { ...result, accounted };
}

async function readCalls(
  running: deploymentModule.RunningDeployment,
): Promise<Record<string, number>> {
  const calls: Record<string, number> = {};
  for (const { urls } of running.plains.values()) {
    const answer = await undici.request(`${urls[0]}/calls`);
    Object.assign(calls, await answer.body.json());
  }
  return calls;
}

async function readHistory(
  running: deploymentModule.RunningDeployment,
): Promise<engineGroup.GroupHistory> {
  const [engine] = running.engines.values();
  const answer = await undici.request(`${engine.urls[0]}/history`);
  return (await answer.body.json()) as engineGroup.GroupHistory;
}
