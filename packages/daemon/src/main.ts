import * as fs from "node:fs";
import * as commander from "commander";
import * as common from "@geraniumkeel/common";
import type * as runningProcess from "./running_process.ts";
import * as settingsModule from "./settings/settings.ts";
import * as startProcess from "./start_process.ts";

/** Exit codes of the daemon. */
enum ExitCode {
  Success = 0,
  Forced = 1,
  BadSettings = 2,
  CannotListen = 3,
}

/**
 * Starts the daemon by the settings file that the arguments name, and returns
 * once it has started. A signal stops the daemon later. With `--check`, only
 * checks the settings. Sets the exit code if the settings are invalid or a
 * listener cannot be opened.
 */
export async function main(argv: string[]): Promise<void> {
  const program = new commander.Command("geraniumkeeld")
    .description("load balancer process of an entry or upstream host")
    .requiredOption("--settings <file>", "JSON file with the settings")
    .option("--check", "check the settings and exit")
    .parse(argv);
  const options = program.opts<{ settings: string; check?: boolean }>();
  const settings = readSettings(options.settings);
  if (!settings) return;
  if (options.check) {
    process.stdout.write(`${options.settings}: valid\n`);
    return;
  }
  const logger = common.createLogger({
    name: "geraniumkeeld",
    host: settings.host,
  });
  common.logProcessFailure(logger);
  const started = await startProcess.startProcess(settings, logger);
  if (started.isErr()) {
    const { listenerName, reason } = started.error;
    process.stderr.write(`cannot open listen.${listenerName}: ${reason}\n`);
    process.exitCode = ExitCode.CannotListen;
    return;
  }
  stopOnSignals(started.value, logger);
}

function readSettings(file: string): settingsModule.Settings | undefined {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (cause) {
    process.stderr.write(`${file}: ${(cause as Error).message}\n`);
    process.exitCode = ExitCode.BadSettings;
    return undefined;
  }
  const checked = common.validateJson(settingsModule.SETTINGS, text);
  if (checked.isOk()) return checked.value;
  for (const problem of checked.error) {
    const line = common.describeProblem(problem);
    process.stderr.write(`${file}: ${line}\n`);
  }
  process.exitCode = ExitCode.BadSettings;
  return undefined;
}

/**
 * Stops the process on SIGTERM or SIGINT. At the first signal the process
 * finishes its accepted work and then stops. At a second one it logs the number
 * of requests that are lost and exits at once.
 */
function stopOnSignals(
  running: runningProcess.RunningProcess,
  logger: common.Logger,
): void {
  let stopping = false;
  const onSignal = () => {
    if (stopping) {
      const lost = running.unfinished();
      logger.event(common.EventCode.StopForced, { lost });
      process.exit(ExitCode.Forced);
    }
    stopping = true;
    void stop(running, logger);
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}

async function stop(
  running: runningProcess.RunningProcess,
  logger: common.Logger,
): Promise<void> {
  await running.drain();
  // Names of the resources that did not close in time.
  const late = await running.stop();
  if (late.length > 0) logger.event(common.EventCode.CloseLate, { late });
  process.exit(ExitCode.Success);
}
