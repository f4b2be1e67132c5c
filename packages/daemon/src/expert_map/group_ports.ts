import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import type * as rankPort from "./rank_port.ts";

/** Where the ranks of a group are found. */
export interface GroupPortsParameters {
  group: string;
  runners: Pick<runnerDirectory.RunnerDirectory, "ofGroup">;
  /** Time after which the answer to an order counts as unknown. */
  timeoutMilliseconds: number;
}

/**
 * Ports to all ranks of a group, or `undefined` while a rank is missing or has
 * two claimants: nobody can tell which engine steps with the group, and orders
 * to the wrong one would leave the other with the old map.
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
 * A port that looks the rank's agent up at each order. A host that left the
 * list and came back has a new link; holding on to the old one left a rank armed
 * for good, and the whole group with it, as nobody could tell it "go".
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
