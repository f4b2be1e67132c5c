import * as path from "node:path";
import * as url from "node:url";
import * as commander from "commander";
import * as childProcesses from "./child_processes.ts";
import * as deployment from "./deployment.ts";
import * as report from "./report.ts";
import * as scenario from "./scenario.ts";

const ROOT = url.fileURLToPath(new URL("../../../..", import.meta.url));

const program = new commander.Command("demo")
  .description("runs an example deployment on loopback and calls it")
  .option("--example <name>", "hielo-seco or cooperativa", "hielo-seco")
  .option("--seconds <seconds>", "length of the run", "20")
  .option("--callers <number>", "callers that wake together", "150")
  .option("--seed <seed>", "seed of the callers' choices", "1")
  .option("--output <format>", "table or json", "table")
  .parse();
const options = program.opts<{
  example: string;
  seconds: string;
  callers: string;
  seed: string;
  output: string;
}>();

const folder = path.join(ROOT, "examples", options.example);
const children = new childProcesses.ChildProcesses();
try {
  const result = await scenario.runScenario({
    children,
    folder,
    deployment: deployment.readDeployment(folder),
    seconds: Number(options.seconds),
    callers: Number(options.callers),
    seed: Number(options.seed),
    tell: (text) => process.stderr.write(`${text}\n`),
  });
  if (options.output === "json") {
    process.stdout.write(`${JSON.stringify(result)}\n`);
  } else {
    process.stdout.write(`${report.renderReport(result)}\n`);
  }
  process.exitCode = result.accounted ? 0 : 1;
} finally {
  await children.close();
}
