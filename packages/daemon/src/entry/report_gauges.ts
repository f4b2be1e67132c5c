import * as common from "@geraniumkeel/common";
import type * as runnerLink from "../dispatch/runner_link.ts";
import type * as entryContext from "./entry_context.ts";

/** Sends the gauges of an entry: links, attempts by runner, skew by group. */
export function reportGauges(context: entryContext.EntryContext): void {
  const { metrics, peers, runners } = context;
  const linked = runners.all.filter((runner) => runner.linked);
  const links = peers.linked.length + linked.length;
  metrics.gauge(common.Metric.LinksOpen, links);
  const evacuated = context.evacuations.inForce().size;
  metrics.gauge(common.Metric.EvacuatedDataCentres, evacuated);
  const groups = new Map<string, runnerLink.RunnerLink[]>();
  for (const runner of linked) {
    const tags = { runner: runner.host.name };
    metrics.gauge(common.Metric.Outstanding, runner.attempts.size, tags);
    const group = runner.hello?.group;
    if (group) groups.set(group, [...(groups.get(group) ?? []), runner]);
  }
  for (const [group, ranks] of groups) {
    const skew = stepSkew(ranks);
    if (skew === undefined) continue;
    metrics.gauge(common.Metric.StepSkew, skew, { group });
  }
}

/** Slowest over mean of the ranks' last step times, as reported. */
function stepSkew(ranks: runnerLink.RunnerLink[]): number | undefined {
  const times = ranks.map(({ load }) => load.rankMilliseconds);
  const sum = times.reduce((total, time) => total + time, 0);
  return sum > 0 ? (Math.max(...times) * times.length) / sum : undefined;
}
