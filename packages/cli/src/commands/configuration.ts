import * as fs from "node:fs";
import * as commander from "commander";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as neverthrow from "neverthrow";
import * as change from "../change.ts";
import * as exitCode from "../exit_code.ts";
import * as options from "../options.ts";
import type * as sessionModule from "../session.ts";

/** `configuration show|check|apply`. */
export function configurationCommand(): commander.Command {
  return new commander.Command("configuration")
    .description("show, check or change the configuration document")
    .addCommand(showCommand())
    .addCommand(checkCommand())
    .addCommand(applyCommand());
}

function showCommand(): commander.Command {
  return new commander.Command("show")
    .description("print the document in force and its revision")
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", "/admin/v1/configuration");
        if (read.isErr()) return session.fail(read.error);
        session.print(read.value, () => JSON.stringify(read.value, null, 2));
      }),
    );
}

function checkCommand(): commander.Command {
  return new commander.Command("check")
    .description("check a configuration file without sending it")
    .argument("<file>", "JSON file")
    .action(
      options.withSession(async (session, file: string) => {
        const document = readDocument(file);
        if (document.isErr()) return session.fail(document.error);
        session.print({ file, valid: true }, () => `${file}: valid`);
      }),
    );
}

function applyCommand(): commander.Command {
  return new commander.Command("apply")
    .description("put a configuration file in force")
    .argument("<file>", "JSON file")
    .addOption(options.revisionOption())
    .action(
      options.withSession(async (session, file: string, given) => {
        const document = readDocument(file);
        if (document.isErr()) return session.fail(document.error);
        await change.makeChange({
          session,
          method: "PUT",
          path: "/admin/v1/configuration",
          body: { document: document.value },
          revision: (given as { revision?: number }).revision,
        });
      }),
    );
}

function readDocument(
  file: string,
): neverthrow.Result<configuration.Document, sessionModule.Failure> {
  const code = exitCode.ExitCode.Usage;
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (cause) {
    const message = `${file}: ${(cause as Error).message}`;
    return neverthrow.err({ code, message });
  }
  return common
    .validateJson(configuration.DOCUMENT, text)
    .mapErr((problems) => ({
      code,
      message: problems
        .map((problem) => `${file}: ${common.describeProblem(problem)}`)
        .join("\n"),
    }));
}
