import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as daemon from "@geraniumkeel/daemon";
import * as commandPage from "./command_page.ts";
import * as schemaPage from "./schema_page.ts";

/** A page that is made from code. */
export interface GeneratedPage {
  /** Path below the repository's root. */
  path: string;
  text: string;
}

const MADE = "Made from the code by `npm run docs`; do not edit.";

/** All pages that are made from code. */
export function generatedPages(): GeneratedPage[] {
  const configurationSchema = configuration.configurationJsonSchema();
  const settingsSchema = daemon.settingsJsonSchema();
  return [
    { path: "docs/events.md", text: eventsPage() },
    { path: "docs/metrics.md", text: metricsPage() },
    { path: "docs/commands.md", text: commandPage.commandPage(MADE) },
    {
      path: "docs/schema/configuration.schema.json",
      text: jsonText(configurationSchema),
    },
    {
      path: "docs/schema/settings.schema.json",
      text: jsonText(settingsSchema),
    },
    {
      path: "docs/configuration-reference.md",
      text: schemaPage.schemaPage({
        title: "Configuration reference",
        intro: `${MADE} One document for the whole system, in the table service; changed with \`geraniumkeel configuration apply\` and \`geraniumkeel preset\`.`,
        schema: configurationSchema,
      }),
    },
    {
      path: "docs/settings-reference.md",
      text: schemaPage.schemaPage({
        title: "Settings reference",
        intro: `${MADE} One file for each process, read at its start with \`geraniumkeeld --settings\`.`,
        schema: settingsSchema,
      }),
    },
  ];
}

function jsonText(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}

function eventsPage(): string {
  const codes = Object.values(common.EventCode).filter(
    (code): code is common.EventCode => typeof code === "number",
  );
  const rows = codes.map((code) => {
    const { level, meaning, action } = common.EVENT_CATALOGUE[code];
    const name = common.EventCode[code];
    return `| ${code} | \`${name}\` | ${level} | ${meaning} | ${action} |`;
  });
  return [
    "# Events",
    "",
    `${MADE} Each log line is JSON with the number in \`event\` and the name in \`msg\`.`,
    "",
    "| number | name | level | meaning | what to do |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function metricsPage(): string {
  const rows = Object.values(common.Metric).map((metric) => {
    const { kind, unit, tags, meaning } = common.METRIC_CATALOGUE[metric];
    const tagged = ["host", ...tags].join(", ");
    return `| \`geraniumkeel.${metric}\` | ${kind} | ${unit} | ${tagged} | ${meaning} |`;
  });
  return [
    "# Metrics",
    "",
    `${MADE} Sent as StatsD datagrams to the address in \`metrics\` of the settings.`,
    "",
    "| name | kind | unit | tags | meaning |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
