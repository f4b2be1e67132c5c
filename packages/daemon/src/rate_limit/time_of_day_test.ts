import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as rateLimitsFixture from "./rate_limits_fixture.ts";

const test = ava.default;

const RUNNER = runnerFixture.createRunner();
const COLD = runnerFixture.createRunner({ warmingUp: true });
const ENTRIES = 6;

/** What entries do while their times of day are set, second by second. */
async function decisions(
  setForwardBy: (entry: number, second: number) => number,
): Promise<unknown> {
  const simulated = new rateLimitsFixture.SimulatedEntries();
  const random = new common.Random(4);
  simulated.warmUpRate = 12;
  simulated.maxDelayMilliseconds = 300;
  simulated.lateness = () => random.between(0, 200);
  const hosts = Array.from({ length: ENTRIES }, (_, entry) => `e${entry}`);
  simulated.add(hosts, 10);
  const described: unknown[] = [];
  for (let second = 0; second < 40; second++) {
    hosts.forEach((host, entry) => {
      const one = simulated.entries.get(host);
      if (one) one.setForwardBy = setForwardBy(entry, second);
    });
    if (second === 3) simulated.name("e0", RUNNER, "5");
    if (second === 12) simulated.list([COLD]);
    if (second === 20) simulated.kill("e1");
    if (second === 24) simulated.cut(["e2"], hosts);
    if (second === 30) simulated.heal();
    if (second === 32) simulated.list([RUNNER]);
    await simulated.run(500, RUNNER, second > 3 ? "5" : undefined);
    await simulated.run(500, RUNNER, second > 3 ? "5" : undefined);
    for (const { limits } of simulated.entries.values())
      described.push(limits.describe());
  }
  const arrivals = simulated.arrivals.get(RUNNER.identifier);
  const events = [...simulated.entries.values()].map(
    ({ logger }) => logger.events,
  );
  return { arrivals, described, events };
}

// Guards against permits that end, or turns that come early, as a clock is set: with
// the turns of all entries at once a runner gets more than it takes.
test("setting the time of day of entries changes no decision about limits", async (t) => {
  const expected = await decisions(() => 0);
  const forward = (_: number, second: number) => (second > 8 ? 7_000 : 0);
  const back = (_: number, second: number) => (second > 8 ? -7_000 : 0);
  const toAndFro = (entry: number, second: number) =>
    ((entry + second) % 3) * 5_000 - 5_000;
  for (const setForwardBy of [forward, back, toAndFro])
    t.deepEqual(await decisions(setForwardBy), expected);
});
