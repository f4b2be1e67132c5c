import * as commander from "commander";
import * as configuration from "./commands/configuration.ts";
import * as evacuations from "./commands/evacuations.ts";
import * as explain from "./commands/explain.ts";
import * as hosts from "./commands/hosts.ts";
import * as preset from "./commands/preset.ts";
import * as quarantine from "./commands/quarantine.ts";
import * as rateLimits from "./commands/rate_limits.ts";
import * as state from "./commands/state.ts";
import * as status from "./commands/status.ts";
import * as exitCode from "./exit_code.ts";
import * as options from "./options.ts";

/** The whole command tree. */
export function createProgram(): commander.Command {
  const program = new commander.Command("geraniumkeel")
    .description("operator's tool of the geraniumkeel load balancer")
    .configureHelp({ showGlobalOptions: true });
  options.addSessionOptions(program);
  return program
    .addCommand(configuration.configurationCommand())
    .addCommand(preset.presetCommand())
    .addCommand(status.statusCommand())
    .addCommand(status.entriesCommand())
    .addCommand(hosts.hostsCommand())
    .addCommand(hosts.drainCommand())
    .addCommand(quarantine.quarantineCommand())
    .addCommand(evacuations.evacuateCommand())
    .addCommand(evacuations.evacuationsCommand())
    .addCommand(rateLimits.rateLimitsCommand())
    .addCommand(state.stateCommand())
    .addCommand(explain.explainCommand());
}

/** Runs the tool; the exit code tells how it ended. */
export async function main(argv: string[]): Promise<void> {
  const program = createProgram();
  exitOverride(program);
  try {
    await program.parseAsync(argv);
  } catch (cause) {
    if (!(cause instanceof commander.CommanderError)) throw cause;
    const { Success, Usage } = exitCode.ExitCode;
    process.exitCode = cause.exitCode === 0 ? Success : Usage;
  }
}

/** Lets every command report misuse by our own exit code. */
function exitOverride(command: commander.Command): void {
  command.exitOverride();
  for (const child of command.commands) exitOverride(child);
}
