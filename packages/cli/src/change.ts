import * as timers from "node:timers/promises";
import * as exitCode from "./exit_code.ts";
import type * as sessionModule from "./session.ts";

const LOOK_MILLISECONDS = 100;
const LONGEST_WAIT_MILLISECONDS = 10_000;

interface InForce {
  revision: number;
  everywhere: boolean;
  inForce: string[];
  notReached: string[];
  unheard: string[];
}

/**
 * Makes a change on top of a revision and follows it until it is in force on
 * all live entries, telling how far it has got.
 */
export async function makeChange(parameters: {
  session: sessionModule.Session;
  method: "PUT" | "POST" | "PATCH";
  path: string;
  body: Record<string, unknown>;
  /** Revision the operator saw; the present one if left out. */
  revision: number | undefined;
}): Promise<void> {
  const { session, method, path } = parameters;
  const base = await baseRevision(session, parameters.revision);
  if (base === undefined) return;
  const body = { ...parameters.body, baseRevision: base };
  const changed = await session.call(method, `${path}?wait=no`, body);
  if (changed.isErr()) return session.fail(changed.error);
  const { revision } = changed.value as unknown as InForce;
  session.progress(`accepted as revision ${revision}`);
  const report = await follow(session, revision);
  session.print(report, () => describe(report));
  if (!report.everywhere) process.exitCode = exitCode.ExitCode.NotReached;
}

async function baseRevision(
  session: sessionModule.Session,
  given: number | undefined,
): Promise<number | undefined> {
  if (given !== undefined) return given;
  const read = await session.call("GET", "/admin/v1/configuration");
  if (read.isErr()) {
    session.fail(read.error);
    return undefined;
  }
  return read.value.revision as number;
}

async function follow(
  session: sessionModule.Session,
  revision: number,
): Promise<InForce> {
  const deadline = Date.now() + LONGEST_WAIT_MILLISECONDS;
  let report: InForce = {
    revision,
    everywhere: false,
    inForce: [],
    notReached: [],
    unheard: [],
  };
  let told = -1;
  while (Date.now() < deadline) {
    const path = `/admin/v1/in-force/${revision}`;
    const read = await session.call("GET", path);
    if (read.isOk()) report = read.value as unknown as InForce;
    const { inForce, notReached } = report;
    if (inForce.length !== told) {
      told = inForce.length;
      const all = told + notReached.length;
      session.progress(`in force on ${told} of ${all} entries`);
    }
    if (report.everywhere) break;
    await timers.setTimeout(LOOK_MILLISECONDS);
  }
  return report;
}

function describe(report: InForce): string {
  const { revision, everywhere, notReached, unheard } = report;
  const silent =
    unheard.length === 0
      ? ""
      : `; listed as live but silent: ${unheard.join(", ")}: check these hosts`;
  if (everywhere) return `revision ${revision} is in force everywhere${silent}`;
  const missing =
    notReached.length === 0
      ? "the host list was not read yet, so who else serves is not known"
      : `not confirmed by ${notReached.join(", ")}: they follow when they are heard again`;
  return `revision ${revision} is accepted; ${missing}${silent}`;
}
