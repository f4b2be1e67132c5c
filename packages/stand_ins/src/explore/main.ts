import * as commander from "commander";
import * as common from "@geraniumkeel/common";
import * as fault from "./fault.ts";
import * as runCase from "./run_case.ts";
import * as schedule from "./schedule.ts";

const program = new commander.Command("explore")
  .description("runs generated faults against an in-process system")
  .option("--seed <seed>", "seed of the cases", "1")
  .option("--minutes <minutes>", "time to go on", "1")
  .option("--parallel <number>", "cases at the same time", "4")
  .option("--singles", "every fault once, instead of generated cases")
  .option("--case <json>", "replay one case as printed")
  .parse();
const options = program.opts<{
  seed: string;
  minutes: string;
  parallel: string;
  singles?: boolean;
  case?: string;
}>();

let cases = 0;
let requests = 0;
let faults = 0;
let violations = 0;
let switches = 0;
const outcomes: Record<string, number> = {};
const byFault: Record<string, number> = {};

async function runOne(one: fault.ExploreCase): Promise<void> {
  const result = await runCase.runCase(one);
  cases++;
  requests += result.requests;
  faults += one.faults.length;
  violations += result.violations.length;
  switches += result.switches;
  for (const [outcome, count] of Object.entries(result.outcomes)) {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + count;
  }
  for (const { kind } of one.faults) byFault[kind] = (byFault[kind] ?? 0) + 1;
  if (result.violations.length === 0) return;
  process.stdout.write(`replay: --case '${JSON.stringify(one)}'\n`);
  for (const { promise, detail } of result.violations) {
    process.stdout.write(`  ${promise}: ${detail}\n`);
  }
}

async function runAll(list: fault.ExploreCase[], until: number): Promise<void> {
  const waiting = [...list];
  const worker = async () => {
    for (
      let one = waiting.shift();
      one && common.now() < until;
      one = waiting.shift()
    ) {
      await runOne(one);
    }
  };
  const workers = Array.from({ length: Number(options.parallel) }, worker);
  await Promise.all(workers);
}

const until = common.now() + Number(options.minutes) * 60_000;
if (options.case) {
  await runAll([JSON.parse(options.case) as fault.ExploreCase], Infinity);
} else if (options.singles) {
  const kinds = Object.values(fault.FaultKind);
  await runAll(kinds.map(schedule.singleCase), Infinity);
} else {
  const count = Math.ceil(Number(options.minutes) * 200) + 1;
  const generated = schedule.generateCases(Number(options.seed), count);
  await runAll(generated, until);
}
process.stdout.write(
  `${JSON.stringify({ cases, requests, faults, switches, outcomes, byFault })}\n`,
);
process.stdout.write(`violations: ${violations}\n`);
process.exitCode = violations > 0 ? 1 : 0;
