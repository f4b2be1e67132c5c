import type * as commander from "commander";
import * as program from "../program.ts";

/** Reference of the command-line tool, from the tool itself. */
export function commandPage(made: string): string {
  const sections = describe(program.createProgram(), "geraniumkeel");
  return [
    "# Command reference",
    "",
    `${made} The tool talks to the operators' listener of any entry.`,
    "",
    "## Exit codes",
    "",
    "| code | meaning |",
    "| --- | --- |",
    "| 0 | done |",
    "| 1 | refused; nothing was changed |",
    "| 2 | bad options or files; nothing was sent |",
    "| 3 | another operator's change came first; nothing was changed |",
    "| 4 | accepted, but some hosts did not confirm in time |",
    "| 5 | no answer: it may have been changed |",
    "",
    ...sections,
  ].join("\n");
}

function describe(command: commander.Command, path: string): string[] {
  const children = command.commands.flatMap((child) =>
    describe(child, `${path} ${child.name()}`),
  );
  const isGroup = command.commands.length > 0;
  const isRoot = command.parent === null;
  if (isGroup && !isRoot) return children;
  const heading = isRoot ? "## Options of every command" : `## ${path}`;
  const words = command.registeredArguments
    .map((argument) => ` <${argument.name()}>`)
    .join("");
  const usage = isRoot ? [] : ["", `\`${path}${words} [options]\``];
  const options = command.options.map(
    (option) => `| \`${option.flags}\` | ${option.description} |`,
  );
  const table =
    options.length > 0
      ? ["", "| option | meaning |", "| --- | --- |", ...options]
      : [];
  const { description } = { description: command.description() };
  return [heading, "", `${description}.`, ...usage, ...table, "", ...children];
}
