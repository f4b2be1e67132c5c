import * as commander from "commander";
import * as options from "../options.ts";
import * as sessionModule from "../session.ts";

/** `state`: the state dump of one process, or of all. */
export function stateCommand(): commander.Command {
  return new commander.Command("state")
    .description("state dump of a process; of the entry itself by default")
    .option("--host <name>", "process of another host")
    .option("--all", "every process that the entry sees")
    .action(
      options.withSession(async (session, given) => {
        const { host, all } = given as { host?: string; all?: boolean };
        if (all) return printAll(session);
        const query = host ? `?host=${encodeURIComponent(host)}` : "";
        const read = await session.call("GET", `/admin/v1/state${query}`);
        if (read.isErr()) return session.fail(read.error);
        session.print(read.value, () => JSON.stringify(read.value, null, 2));
      }),
    );
}

async function printAll(session: sessionModule.Session): Promise<void> {
  const hosts = await session.call("GET", "/admin/v1/hosts");
  if (hosts.isErr()) return session.fail(hosts.error);
  const states: Record<string, unknown> = {};
  for (const { name } of hosts.value as unknown as { name: string }[]) {
    const path = `/admin/v1/state?host=${encodeURIComponent(name)}`;
    const read = await session.call("GET", path);
    states[name] = read.isOk() ? read.value : { unreached: read.error.message };
  }
  session.print(states, () => JSON.stringify(states, null, 2));
}
