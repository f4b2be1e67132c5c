import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import type * as rankConnection from "./rank_connection.ts";

/** Group whose ranks are looked up, and the directory to search. */
export interface GroupConnectionsParameters {
  group: string;
  runners: Pick<runnerDirectory.RunnerDirectory, "ofGroup">;
  /**
   * Time to wait for the answer to an order; afterwards the outcome is unknown.
   */
  timeoutMilliseconds: number;
}

/**
 * Connections to all ranks of a group. Returns `undefined` unless exactly one
 * linked upstream process claims each rank. If several claim a rank, each
 * stands beside an engine of its own, and the coordinator cannot tell which of
 * these engines runs the group's iterations. An order to another engine would
 * leave that one with the old map.
 */
export function groupConnections(
  parameters: GroupConnectionsParameters,
): rankConnection.RankConnection[] | undefined {
  const { group, runners } = parameters;
  const size = runners.ofGroup(group)[0]?.hello?.groupSize ?? 0;
  if (size === 0) return undefined;
  const connections = Array.from({ length: size }, (_, rank) =>
    connectionTo(parameters, rank),
  );
  const isComplete = connections.every(
    (connection) => connection.incarnations().length === 1,
  );
  return isComplete ? connections : undefined;
}

/**
 * A connection that looks up, for each order, the runner whose upstream process
 * serves the rank. If a host is removed from the host list and returns, its
 * upstream process gets a new `RunnerLink`. Through the old one, the
 * coordinator could not send "go" to a rank that is armed for a new map. That
 * rank would hold forever before the iteration that it is armed for, and the
 * group with it.
 */
function connectionTo(
  parameters: GroupConnectionsParameters,
  rank: number,
): rankConnection.RankConnection {
  const { group, runners, timeoutMilliseconds } = parameters;
  /** Runners that are linked and whose upstream process claims the rank. */
  const linkedRunners = (): runnerLink.RunnerLink[] =>
    runners
      .ofGroup(group)
      .filter((runner) => runner.linked && runner.hello?.rank === rank);
  return {
    incarnations: () =>
      linkedRunners().flatMap(({ hello }) => hello?.incarnation ?? []),
    order: async (order, incarnation) => {
      const runner = linkedRunners().find(
        ({ hello }) => hello?.incarnation === incarnation,
      );
      return runner?.order(order, incarnation, timeoutMilliseconds);
    },
  };
}
