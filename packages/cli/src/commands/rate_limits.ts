import * as commander from "commander";
import * as options from "../options.ts";
import * as table from "../table.ts";

interface RateLimit {
  runner: string;
  service: string;
  /** What sets the limit; not told by entries of an older version. */
  source?: string;
  perSecond: number;
  /** Milliseconds since what sets the limit was heard. */
  age: number;
  allocator: string;
  share: number;
  /** Not told where the process beside the runner allocates the limit. */
  grantedPerSecond?: number;
}

/** `rate-limits`: limits that runners name or that hold while they warm up. */
export function rateLimitsCommand(): commander.Command {
  return new commander.Command("rate-limits")
    .description(
      "request rate limits that runners name or that hold while they warm up, and their use",
    )
    .action(
      options.withSession(async (session) => {
        const read = await session.call("GET", "/admin/v1/rate-limits");
        if (read.isErr()) return session.fail(read.error);
        const limits = read.value as unknown as RateLimit[];
        session.print(limits, () => renderLimits(limits));
      }),
    );
}

function renderLimits(limits: RateLimit[]): string {
  return table.renderTable(
    [
      "RUNNER",
      "SERVICE",
      "SOURCE",
      "A SECOND",
      "AGE MS",
      "ALLOCATOR",
      "SHARE",
      "USED",
    ],
    limits.map((limit) => [
      limit.runner,
      limit.service,
      limit.source ?? "named",
      limit.perSecond,
      limit.age,
      limit.allocator,
      limit.share.toFixed(2),
      limit.grantedPerSecond?.toFixed(2) ?? "",
    ]),
  );
}
