import * as ava from "ava";
import type * as cluster from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

const LIMIT = 4;
const RANKS = 2;
const CALLERS = 60;

const CONFIGURATION = testConfiguration.smallRunners(
  testConfiguration.testConfiguration(),
  LIMIT,
);

/** Most sequences that each rank had at the same time, from now on. */
function watchRanks(system: cluster.Cluster): number[] {
  const most = system.engine.group.ranks.map(() => 0);
  const { group } = system.engine;
  group.onStart = (rank) => {
    const { sequencesById } = group.ranks[rank];
    const running = [...sequencesById.values()].filter((one) => !one.ended);
    most[rank] = Math.max(most[rank], running.length + 1);
  };
  return most;
}

/** Sends a crowd of requests over all entries and waits for the answers. */
async function crowd(system: cluster.Cluster): Promise<number[]> {
  const answers = await Promise.all(
    Array.from({ length: CALLERS }, (_, index) =>
      system.generate({
        prompt: `crowd ${index} [tokens=4]`,
        entry: index % system.entries.length,
      }),
    ),
  );
  return answers.map(({ status }) => status);
}

/** A test that sends a crowd and looks how many each rank had at once. */
function holdsLimit(
  entries: number,
): (t: ava.ExecutionContext) => Promise<void> {
  const options = {
    entries,
    ranks: RANKS,
    plainRunners: 0,
    configuration: CONFIGURATION,
  };
  return withCluster.withCluster(options, async (t, system) => {
    const most = watchRanks(system);
    const statuses = await crowd(system);
    t.true(statuses.every((status) => status === 200));
    t.true(
      most.every((one) => one > 0 && one <= LIMIT),
      `most at once: ${most.join(", ")}`,
    );
  });
}

// Callers crowd in, and most of them wait in the entry's queue. A load report
// says that a rank has room; the queue looks at once for all that wait. Each one
// admitted must count before the next one looks, or they all go to that rank.
test(
  "a crowd in the queue never takes more than a runner's room",
  holdsLimit(1),
);

// Callers crowd in at seven entries. Each knows of the others' requests only by
// the runners' next report, and would fill every runner by itself until then.
test("entries together never take more than a runner's room", holdsLimit(7));
