import * as commander from "commander";
import * as sessionModule from "./session.ts";

const DEFAULT_URL = "http://127.0.0.1:7003";

/** Adds the options that every command takes. */
export function addSessionOptions(program: commander.Command): void {
  program
    .option(
      "--url <url>",
      "operators' listener of any entry (or GERANIUMKEEL_URL)",
      process.env.GERANIUMKEEL_URL ?? DEFAULT_URL,
    )
    .option("--key-file <file>", "file with the operator's key")
    .addOption(
      new commander.Option("--output <format>", "how results are printed")
        .choices(Object.values(sessionModule.OutputFormat))
        .default(sessionModule.OutputFormat.Table),
    );
}

/** Option that bases a change on a revision seen before. */
export function revisionOption(): commander.Option {
  return new commander.Option(
    "--revision <number>",
    "base the change on this revision; refused if another came first",
  ).argParser(parseRevision);
}

function parseRevision(text: string): number {
  const revision = Number(text);
  if (Number.isInteger(revision) && revision >= 0) return revision;
  throw new commander.InvalidArgumentError("give a whole number from 0 up");
}

/** Runs an action with the session that the global options describe. */
export function withSession<A extends unknown[]>(
  action: (session: sessionModule.Session, ...rest: A) => Promise<void>,
): (...rest: [...A, unknown, commander.Command]) => Promise<void> {
  return async (...rest) => {
    const command = rest.at(-1) as commander.Command;
    const given = command.optsWithGlobals<sessionModule.SessionOptions>();
    const session = new sessionModule.Session(given);
    await action(session, ...(rest.slice(0, -1) as unknown as A));
  };
}
