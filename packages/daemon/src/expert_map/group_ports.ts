import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import type * as rankPort from "./rank_port.ts";

/** Group whose ranks are looked up, and the directory to search. */
export interface GroupPortsParameters {
  group: string;
  runners: Pick<runnerDirectory.RunnerDirectory, "ofGroup">;
  /** Time after which the outcome of an unanswered order counts as unknown. */
  timeoutMilliseconds: number;
}

/**
 * Ports to all ranks of a group, or `undefined` while a rank has no linked
 * agent or several agents claim it. With several, it is unknown which engine
 * runs the group's iterations, and an order to the wrong one would leave the
 * other with the old map.
 */
export function groupPorts(
  parameters: GroupPortsParameters,
): rankPort.RankPort[] | undefined {
  const { group, runners } = parameters;
  const size = runners.ofGroup(group)[0]?.hello?.groupSize ?? 0;
  if (size === 0) return undefined;
  const ports = Array.from({ length: size }, (_, rank) =>
    portOf(parameters, rank),
  );
  const isComplete = ports.every((port) => port.incarnations().length === 1);
  return isComplete ? ports : undefined;
}

/**
 * A port that looks up the link to the rank's agent for each order. A host that
 * is removed from the host list and returns has a new link. A port that used
 * the old link could not send "go" to an armed rank; that rank would hold
 * forever, and with it the group.
 */
function portOf(
  parameters: GroupPortsParameters,
  rank: number,
): rankPort.RankPort {
  const { group, runners, timeoutMilliseconds } = parameters;
  const claimants = (): runnerLink.RunnerLink[] =>
    runners
      .ofGroup(group)
      .filter((runner) => runner.linked && runner.hello?.rank === rank);
  return {
    incarnations: () =>
      claimants().flatMap(({ hello }) => hello?.incarnation ?? []),
    order: async (order, incarnation) => {
      const runner = claimants().find(
        ({ hello }) => hello?.incarnation === incarnation,
      );
      return runner?.order(order, incarnation, timeoutMilliseconds);
    },
  };
}
