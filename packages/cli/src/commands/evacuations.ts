import * as commander from "commander";
import * as options from "../options.ts";
import * as table from "../table.ts";

interface Evacuation {
  dataCentre: string;
  /** Since when the evacuation is in force at the answering entry. */
  since: string;
  entries: { host: string; inForce: boolean }[];
}

/** `evacuations`: evacuated data centres, and how far each is in force. */
export function evacuationsCommand(): commander.Command {
  return new commander.Command("evacuations")
    .description("evacuated data centres, and the entries that know of each")
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", "/admin/v1/evacuations");
        if (read.isErr()) return session.fail(read.error);
        const evacuations = read.value as unknown as Evacuation[];
        session.print(evacuations, () => renderEvacuations(evacuations));
      }),
    );
}

function renderEvacuations(evacuations: Evacuation[]): string {
  return table.renderTable(
    ["DATA CENTRE", "SINCE", "IN FORCE", "NOT CONFIRMED BY"],
    evacuations.map(({ dataCentre, since, entries }) => {
      const missing = entries.filter(({ inForce }) => !inForce);
      return [
        dataCentre,
        since,
        `${entries.length - missing.length} of ${entries.length}`,
        missing.map(({ host }) => host).join(", "),
      ];
    }),
  );
}
