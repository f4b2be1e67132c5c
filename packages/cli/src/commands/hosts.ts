import * as commander from "commander";
import * as options from "../options.ts";
import * as table from "../table.ts";

interface HostRow {
  name: string;
  role: string;
  place: string;
  service: string;
  listed: string;
  seen: string;
}

/** `hosts`: the platform's list beside what the entry sees itself. */
export function hostsCommand(): commander.Command {
  return new commander.Command("hosts")
    .description("the platform's host list beside what the entry sees")
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", "/admin/v1/hosts");
        if (read.isErr()) return session.fail(read.error);
        const hosts = read.value as unknown as HostRow[];
        session.print(hosts, () =>
          table.renderTable(
            ["HOST", "ROLE", "PLACE", "SERVICE", "LISTED", "SEEN"],
            hosts.map((host) => [
              host.name,
              host.role,
              host.place,
              host.service,
              host.listed,
              host.seen,
            ]),
          ),
        );
      }),
    );
}

/** `drain`: planned stop of a host's work. */
export function drainCommand(): commander.Command {
  return new commander.Command("drain")
    .description("give a host no new work and let it finish what it has")
    .argument("<host>")
    .action(
      options.withSession(async (session, host: string) => {
        const body = { host };
        const answer = await session.call("POST", "/admin/v1/drain", body);
        if (answer.isErr()) return session.fail(answer.error);
        session.print(answer.value, () => `${host} is draining`);
      }),
    );
}
