import * as commander from "commander";
import * as options from "../options.ts";
import * as table from "../table.ts";

const PATH = "/admin/v1/quarantine";
const SECOND_MILLISECONDS = 1_000;

interface QuarantineCase {
  fingerprint: string;
  service: string;
  since: string;
  millisecondsLeft: number;
  ends: { runner: string; version: string; at: string; seenBy: string[] }[];
}

/** `quarantine list|lift`. */
export function quarantineCommand(): commander.Command {
  return new commander.Command("quarantine")
    .description(
      "requests, and parts of prompts, that are sent to no runner, as runners ended under them",
    )
    .addCommand(listCommand())
    .addCommand(liftCommand());
}

function listCommand(): commander.Command {
  return new commander.Command("list")
    .description(
      "requests and parts of prompts in quarantine, the runners that ended and who saw it",
    )
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", PATH);
        if (read.isErr()) return session.fail(read.error);
        const cases = read.value as unknown as QuarantineCase[];
        session.print(cases, () => renderCases(cases));
      }),
    );
}

function liftCommand(): commander.Command {
  return new commander.Command("lift")
    .description(
      "let a request, or requests with a part, be sent to runners again, at all entries",
    )
    .argument(
      "<fingerprint>",
      "of the request, or key of the part, as listed and as logged",
    )
    .action(
      options.withSession(async (session, fingerprint: string) => {
        const path = `${PATH}/${encodeURIComponent(fingerprint)}`;
        const answer = await session.call("DELETE", path);
        if (answer.isErr()) return session.fail(answer.error);
        session.print(answer.value, () => `${fingerprint} is lifted`);
      }),
    );
}

/** A row for each runner that ended. */
function renderCases(cases: QuarantineCase[]): string {
  return table.renderTable(
    ["FINGERPRINT", "SERVICE", "SINCE", "SECONDS LEFT", "RUNNER", "SEEN BY"],
    cases.flatMap(({ fingerprint, service, since, millisecondsLeft, ends }) =>
      ends.map(({ runner, seenBy }) => [
        fingerprint,
        service,
        since,
        Math.ceil(millisecondsLeft / SECOND_MILLISECONDS),
        runner,
        seenBy.join(", "),
      ]),
    ),
  );
}
