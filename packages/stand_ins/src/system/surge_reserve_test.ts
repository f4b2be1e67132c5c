import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as cluster from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

const MINUTE = 60_000;
const HOUR = 60 * MINUTE;
const SURGE_REQUESTS = 100;

/** Moves the wall clock of this test's process, which is the system's too. */
function wallClock(): { set: (milliseconds: number) => void } {
  let wall = 0;
  Date.now = () => wall;
  return { set: (milliseconds) => (wall = milliseconds) };
}

/** Runners with room for four, of which surges get a half. */
function halfForSurges(): testConfiguration.DocumentInput {
  const document = testConfiguration.testConfiguration();
  const presets = document.presets.map((preset) => ({
    ...preset,
    surgeReserve: 0.5,
  }));
  return testConfiguration.smallRunners({ ...document, presets }, 4);
}

function modelQueue(system: cluster.Cluster): {
  waiting: number;
  surgeExpected: boolean;
} {
  const { queues } = system.entries[0].running.state() as {
    queues: Record<string, { waiting: number; surgeExpected: boolean }>;
  };
  return queues.model;
}

// An hour ago callers crowded in. Now, just before the hour, report jobs come in
// that nobody waits for: they get half of the runner. Then the first counter
// asks: it gets its answer while a job still waits in the queue.
test(
  "report jobs leave room just before a surge that was learned",
  withCluster.withCluster(
    { entries: 1, ranks: 1, plainRunners: 0, configuration: halfForSurges() },
    async (t, system) => {
      const clock = wallClock();
      clock.set(HOUR);
      const crowd = Array.from({ length: SURGE_REQUESTS }, (_, index) =>
        system.generate({ prompt: `crowd ${index} [tokens=1]` }),
      );
      const answers = await Promise.all(crowd);
      t.true(answers.every(({ status }) => status === 200));
      clock.set(HOUR + 10 * MINUTE);
      t.false(modelQueue(system).surgeExpected);
      clock.set(2 * HOUR - MINUTE / 2);
      t.true(modelQueue(system).surgeExpected);
      const jobs = [1, 2, 3].map((index) =>
        system.generate({
          prompt: `report ${index} [tokens=400]`,
          account: "hostel",
          headers: { priority: "u=6" },
        }),
      );
      await system.until(() => modelQueue(system).waiting === 1);
      const counter = await system.generate({ prompt: "counter [tokens=1]" });
      t.is(counter.status, 200);
      t.is(modelQueue(system).waiting, 1);
      const codes = system.entries[0].logger.events.map(({ code }) => code);
      t.true(codes.includes(common.EventCode.SurgeExpected));
      const ended = await Promise.all(jobs);
      t.true(ended.every(({ status }) => status === 200));
    },
  ),
);
