import * as commander from "commander";
import * as change from "../change.ts";
import * as options from "../options.ts";
import * as table from "../table.ts";

interface Evacuation {
  dataCentre: string;
  /** Since when the evacuation is in force at the answering entry. */
  since: string;
  entries: { host: string; inForce: boolean }[];
}

interface EvacuateOptions {
  end?: boolean;
  revision?: number;
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

/** `evacuate`: starts or ends the evacuation of a data centre. */
export function evacuateCommand(): commander.Command {
  return new commander.Command("evacuate")
    .description("send nothing new to runners in a data centre")
    .argument("<data-centre>")
    .option("--end", "end the evacuation")
    .addOption(options.revisionOption())
    .action(
      options.withSession(async (session, dataCentre: string, given) => {
        const { end, revision } = given as EvacuateOptions;
        await change.makeChange({
          session,
          method: "PUT",
          path: `/admin/v1/evacuations/${encodeURIComponent(dataCentre)}`,
          body: { evacuated: end !== true },
          revision,
        });
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
