import * as commander from "commander";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as change from "../change.ts";
import * as exitCode from "../exit_code.ts";
import * as options from "../options.ts";
import * as table from "../table.ts";

interface RevisionOption {
  revision?: number;
}

/** `preset list|show|use|create|adjust`. */
export function presetCommand(): commander.Command {
  return new commander.Command("preset")
    .description("presets: exactly one is in force")
    .addCommand(listCommand())
    .addCommand(showCommand())
    .addCommand(useCommand())
    .addCommand(createCommand())
    .addCommand(adjustCommand());
}

function listCommand(): commander.Command {
  return new commander.Command("list")
    .description("list presets and which one is in force")
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", "/admin/v1/configuration");
        if (read.isErr()) return session.fail(read.error);
        const document = read.value.document as configuration.Document | null;
        const presets = (document?.presets ?? []).map((preset) => ({
          name: preset.name,
          kind: preset.kind,
          inForce: preset.name === document?.presetInForce,
        }));
        session.print(presets, () =>
          table.renderTable(
            ["PRESET", "KIND", "IN FORCE"],
            presets.map(({ name, kind, inForce }) => [name, kind, inForce]),
          ),
        );
      }),
    );
}

function showCommand(): commander.Command {
  return new commander.Command("show")
    .description("print one preset")
    .argument("<name>")
    .action(
      options.withSession(async (session, name: string) => {
        const read = await session.call("GET", "/admin/v1/configuration");
        if (read.isErr()) return session.fail(read.error);
        const document = read.value.document as configuration.Document | null;
        const preset = document?.presets.find((one) => one.name === name);
        if (!preset) {
          const message = `there is no preset "${name}": see "preset list"`;
          return session.fail({ code: exitCode.ExitCode.Refused, message });
        }
        session.print(preset, () => JSON.stringify(preset, null, 2));
      }),
    );
}

function useCommand(): commander.Command {
  return new commander.Command("use")
    .description("put a preset in force")
    .argument("<name>")
    .addOption(options.revisionOption())
    .action(
      options.withSession(async (session, preset: string, given) => {
        await change.makeChange({
          session,
          method: "PUT",
          path: "/admin/v1/preset-in-force",
          body: { preset },
          revision: (given as RevisionOption).revision,
        });
      }),
    );
}

function createCommand(): commander.Command {
  return new commander.Command("create")
    .description("create a preset from JSON")
    .argument("<json>", 'for example {"name":"fair","kind":"peak"}')
    .addOption(options.revisionOption())
    .action(
      options.withSession(async (session, json: string, given) => {
        const preset = common.validateJson(configuration.PRESET, json);
        if (preset.isErr()) {
          const message = preset.error.map(common.describeProblem).join("\n");
          return session.fail({ code: exitCode.ExitCode.Usage, message });
        }
        await change.makeChange({
          session,
          method: "POST",
          path: "/admin/v1/presets",
          body: { preset: preset.value },
          revision: (given as RevisionOption).revision,
        });
      }),
    );
}

function adjustCommand(): commander.Command {
  return new commander.Command("adjust")
    .description("change some fields of a preset")
    .argument("<name>")
    .argument("<json>", 'for example {"limitScale":2}')
    .addOption(options.revisionOption())
    .action(
      options.withSession(
        async (session, name: string, json: string, given) => {
          const wanted = parseObject(json);
          if (!wanted) {
            const message = `${json}: give a JSON object of fields to change`;
            return session.fail({ code: exitCode.ExitCode.Usage, message });
          }
          await change.makeChange({
            session,
            method: "PATCH",
            path: `/admin/v1/presets/${encodeURIComponent(name)}`,
            body: { change: wanted },
            revision: (given as RevisionOption).revision,
          });
        },
      ),
    );
}

function parseObject(json: string): Record<string, unknown> | undefined {
  try {
    const value = JSON.parse(json) as unknown;
    const object = value !== null && typeof value === "object";
    return object ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
