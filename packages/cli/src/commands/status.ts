import * as commander from "commander";
import * as options from "../options.ts";
import * as table from "../table.ts";

interface Status {
  host: string;
  revision: number;
  presetInForce: string | null;
  draining: boolean;
  stale: boolean;
  requests: number;
  entries: { host: string; place: string; state: string; revision: number }[];
  runners: {
    host: string;
    service: string;
    place: string;
    linked: boolean;
    leaving: boolean;
    sequences: number;
  }[];
}

/** `status`: what one entry sees of the system. */
export function statusCommand(): commander.Command {
  return new commander.Command("status")
    .description("what the entry sees: preset in force, entries, runners")
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", "/admin/v1/status");
        if (read.isErr()) return session.fail(read.error);
        const status = read.value as unknown as Status;
        session.print(status, () => renderStatus(status));
      }),
    );
}

/** `entries`: the entry hosts and the revision in force on each. */
export function entriesCommand(): commander.Command {
  return new commander.Command("entries")
    .description("entry hosts, their state and the revision in force there")
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", "/admin/v1/status");
        if (read.isErr()) return session.fail(read.error);
        const { entries } = read.value as unknown as Status;
        session.print(entries, () => renderEntries(entries));
      }),
    );
}

function renderStatus(status: Status): string {
  const head = [
    `entry ${status.host}: revision ${status.revision}, preset ${status.presetInForce ?? "none"} in force, ${status.requests} requests under way`,
  ];
  if (status.draining) head.push("this entry is draining");
  if (status.stale) head.push("this entry is cut off and refuses work");
  const runners = table.renderTable(
    ["RUNNER", "SERVICE", "PLACE", "LINKED", "LEAVING", "SEQUENCES"],
    status.runners.map((runner) => [
      runner.host,
      runner.service,
      runner.place,
      runner.linked,
      runner.leaving,
      runner.sequences,
    ]),
  );
  return [...head, "", renderEntries(status.entries), "", runners].join("\n");
}

function renderEntries(entries: Status["entries"]): string {
  return table.renderTable(
    ["ENTRY", "PLACE", "STATE", "REVISION"],
    entries.map(({ host, place, state, revision }) => [
      host,
      place,
      state,
      revision,
    ]),
  );
}
