import * as common from "@geraniumkeel/common";
import type * as undici from "undici";
import type * as historyModule from "../checkers/history.ts";
import * as caller from "../load/caller.ts";
import type * as cluster from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";

/** One simulated caller. */
export interface CallerParameters {
  system: cluster.Cluster;
  history: historyModule.History;
  dispatcher: undici.Dispatcher;
  number: number;
  random: common.Random;
  until: number;
  /** Whether the run has planned stops only. */
  planned: boolean;
}

const PAUSE_MILLISECONDS = 40;
/** Tries of one confirmation under its key. */
const CONFIRMATION_TRIES = 4;

/** Name of the work in a prompt; unique for each request of a run. */
export function workOf(prompt: string): string {
  return /work-\d+-\d+/.exec(prompt)?.[0] ?? "";
}

/** Sends requests one after the other and records what each came to. */
export async function runCaller(parameters: CallerParameters): Promise<void> {
  const { number, random, until } = parameters;
  for (let turn = 0; common.now() < until; turn++) {
    const work = `work-${number}-${turn}`;
    const kind = random.fraction();
    if (kind < 0.5) await chat(parameters, work);
    else if (kind < 0.75) await confirm(parameters, work);
    else await plain(parameters, work, kind < 0.9);
    await common.sleep(random.exponential(PAUSE_MILLISECONDS));
  }
}

function newCaller(parameters: CallerParameters): caller.Caller {
  const { system, random, dispatcher } = parameters;
  return new caller.Caller({
    known: system.entries.map(({ running }) => running.urls.callers),
    key: testConfiguration.accountKey("counter"),
    random,
    dispatcher,
    patient: false,
  });
}

async function chat(parameters: CallerParameters, work: string): Promise<void> {
  const { random } = parameters;
  const tokens = 4 + random.below(40);
  const prompt = `${work} [tokens=${tokens}]`;
  const report = await newCaller(parameters).chat("model", prompt);
  note(parameters, work, true, report);
}

/** A confirmation: tried again under its key, at any entry, until answered. */
async function confirm(
  parameters: CallerParameters,
  work: string,
): Promise<void> {
  let told: caller.CallReport | undefined;
  for (let tries = 0; tries < CONFIRMATION_TRIES; tries++) {
    const asking = newCaller(parameters);
    const report = await asking.confirm("plain", "/confirm", work);
    // "Not run" is about one try; what an earlier one may have done stays.
    const notRun = report.outcome === caller.CallOutcome.NotRun;
    if (!notRun || told === undefined) told = report;
    if (report.outcome === caller.CallOutcome.Whole) break;
    await common.sleep(PAUSE_MILLISECONDS);
  }
  if (told) note(parameters, work, false, told);
}

/** A call without a key; some paths may be repeated by the system. */
async function plain(
  parameters: CallerParameters,
  work: string,
  repeatable: boolean,
): Promise<void> {
  const path = repeatable ? "/query" : "/confirm";
  const report = await newCaller(parameters).call("plain", path, work);
  note(parameters, work, repeatable, report);
}

function note(
  parameters: CallerParameters,
  work: string,
  repeatable: boolean,
  report: caller.CallReport,
): void {
  const { history, planned } = parameters;
  const { outcome, detail } = report;
  const duringPlannedStopOnly = planned;
  history.calls.push({
    work,
    repeatable,
    outcome,
    detail,
    duringPlannedStopOnly,
  });
}
