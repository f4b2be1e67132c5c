import * as fs from "node:fs";
import * as commander from "commander";
import * as exitCode from "../exit_code.ts";
import * as explainRequest from "../explain_request.ts";

/** `explain`: a request's way and the cause of its end, from collected logs. */
export function explainCommand(): commander.Command {
  return new commander.Command("explain")
    .description("way of a request over all processes, and why it ended so")
    .argument("<request-id>", "the caller's name for the request")
    .requiredOption("--logs <files...>", "collected logs of the processes")
    .action((identifier: string, given: { logs: string[] }) => {
      const lines = given.logs.flatMap((file) => readFile(file));
      const explained = explainRequest.explainRequest(identifier, lines);
      for (const line of explained.way) process.stdout.write(`${line}\n`);
      process.stdout.write(`${explained.cause}\n`);
    });
}

function readFile(file: string): explainRequest.LogLine[] {
  try {
    return explainRequest.readLines(fs.readFileSync(file, "utf8"));
  } catch (cause) {
    process.stderr.write(`--logs ${file}: ${(cause as Error).message}\n`);
    process.exitCode = exitCode.ExitCode.Usage;
    return [];
  }
}
