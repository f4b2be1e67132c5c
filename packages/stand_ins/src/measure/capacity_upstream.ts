import * as common from "@geraniumkeel/common";
import * as cluster from "../testing/cluster.ts";
import * as statistics from "./statistics.ts";

const ENTRY_COUNTS = [2, 6, 12];
const WINDOW_MILLISECONDS = 3_000;

/** Links of one upstream process as measured. */
export interface UpstreamPoint {
  entries: number;
  idleBytesPerSecondPerLink: number;
  busyBytesPerSecondPerLink: number;
  busyMessagesPerSecondPerLink: number;
}

/** What an entry receives from one runner, idle and busy. */
export async function measureUpstream(): Promise<UpstreamPoint[]> {
  const points: UpstreamPoint[] = [];
  for (const entries of ENTRY_COUNTS) {
    const system = await cluster.Cluster.start({
      entries,
      ranks: 2,
      plainRunners: 0,
      timing: { heartbeat: 250, silentAfter: 1_000 },
    });
    const idle = await observe(system, async () => {
      await common.sleep(WINDOW_MILLISECONDS);
    });
    // The last entry sends nothing: what it hears is load, not answers.
    const busy = await observe(system, async () => {
      const until = common.now() + WINDOW_MILLISECONDS;
      await Promise.all(
        Array.from({ length: 4 }, async (_, number) => {
          for (let turn = 0; common.now() < until; turn++) {
            const prompt = `${number} ${turn} [tokens=60]`;
            await system.generate({ prompt, entry: 0 });
          }
        }),
      );
    });
    await system.close();
    points.push({
      entries,
      idleBytesPerSecondPerLink: statistics.round(idle.bytes),
      busyBytesPerSecondPerLink: statistics.round(busy.bytes),
      busyMessagesPerSecondPerLink: statistics.round(busy.messages),
    });
  }
  return points;
}

/** Received each second over one link of the last entry. */
async function observe(
  system: cluster.Cluster,
  during: () => Promise<void>,
): Promise<{ bytes: number; messages: number }> {
  const counts = () => {
    const state = system.entries[system.entries.length - 1].running.state();
    const { runnerCounts } = state as {
      runnerCounts: { receivedBytes: number; receivedMessages: number }[];
    };
    const [first] = runnerCounts;
    return first;
  };
  const before = { ...counts() };
  const started = common.now();
  await during();
  const seconds = (common.now() - started) / 1_000;
  const after = counts();
  return {
    bytes: (after.receivedBytes - before.receivedBytes) / seconds,
    messages: (after.receivedMessages - before.receivedMessages) / seconds,
  };
}
