import * as ava from "ava";
import * as describeCause from "./describe_cause.ts";
import * as eventCatalogue from "./event_catalogue.ts";
import * as lifeCycleModule from "./life_cycle.ts";
import * as loggerModule from "./logger.ts";
import * as metricsModule from "./metrics.ts";
import * as taskFailures from "./task_failures.ts";

const test = ava.default;

/** A life-cycle whose failures are kept. */
function createLifeCycle(): {
  lifeCycle: lifeCycleModule.LifeCycle;
  failed: string[];
} {
  const failed: string[] = [];
  const lifeCycle = new lifeCycleModule.LifeCycle("process", (task, cause) =>
    failed.push(`${task}: ${(cause as Error).message}`),
  );
  return { lifeCycle, failed };
}

// Guards against a process that ends, or a task that stops for good, as a loop meets an
// error once.
test("a task that has to go on is started again after it failed", async (t) => {
  const { lifeCycle, failed } = createLifeCycle();
  let starts = 0;
  await new Promise<void>((resolve) => {
    lifeCycle.keepRunning("follow", async () => {
      if (++starts === 1) throw new Error("first");
      resolve();
    });
  });
  t.deepEqual(failed, ["process/follow: first"]);
  await lifeCycle.close();
  t.is(starts, 2);
});

// Guards against a task that begins anew on its way out, so that closing waits for it.
test("a task that fails while its owner closes is not started again", async (t) => {
  const { lifeCycle, failed } = createLifeCycle();
  let starts = 0;
  lifeCycle.keepRunning("follow", async (signal) => {
    starts++;
    await new Promise((resolve) => signal.addEventListener("abort", resolve));
    throw new Error("aborted");
  });
  t.deepEqual(await lifeCycle.close(), []);
  t.is(starts, 1);
  t.deepEqual(failed, ["process/follow: aborted"]);
});

test("a task with an end of its own fails alone and is not started again", async (t) => {
  const { lifeCycle, failed } = createLifeCycle();
  let starts = 0;
  lifeCycle.child("part").run("connection", async () => {
    starts++;
    throw new Error("odd message");
  });
  await lifeCycle.close();
  t.is(starts, 1);
  t.deepEqual(failed, ["process/part/connection: odd message"]);
});

test("a timer goes on after it failed", async (t) => {
  const { lifeCycle, failed } = createLifeCycle();
  let calls = 0;
  await new Promise<void>((resolve) => {
    lifeCycle.every(1, () => {
      if (++calls === 3) resolve();
      throw new Error("odd");
    });
  });
  t.deepEqual(failed.slice(0, 2), ["process/timer: odd", "process/timer: odd"]);
  await lifeCycle.close();
});

// Guards against a log that a failing timer fills.
test("failures are counted, and of many some are logged", (t) => {
  const logger = new loggerModule.RecordingLogger();
  let counted = 0;
  const report = taskFailures.reportTaskFailures({
    logger,
    metrics: { ...metricsModule.discardMetrics(), count: () => counted++ },
  });
  for (let call = 0; call < 1_000; call++) report("timer", new Error("odd"));
  t.is(counted, 1_000);
  // The calls may lie in two seconds.
  t.true(logger.events.length >= 5 && logger.events.length <= 10);
  const [{ code, fields }] = logger.events;
  t.is(code, eventCatalogue.EventCode.TaskFailed);
  t.is(fields.task, "timer");
});

// Guards against a description that throws or has no bound, whatever was thrown.
test("any cause is described in a bounded text", (t) => {
  const endless = new Error("endless");
  endless.cause = endless;
  const causes = [
    new Error("x".repeat(100_000)),
    new Error("outer", { cause: new Error("inner") }),
    endless,
    "text",
    null,
    undefined,
    Symbol("s"),
    { toString: () => "never called" },
  ];
  for (const cause of causes) {
    t.true(describeCause.describeCause(cause).length <= 4_000);
  }
  t.regex(
    describeCause.describeCause(causes[1]),
    /outer[^]*caused by: .*inner/,
  );
});
