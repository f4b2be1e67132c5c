import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as entryContext from "../entry/entry_context.ts";
import * as evacuationView from "../evacuation/evacuation_view.ts";
import * as limitSource from "../rate_limit/limit_source.ts";

/** What `geraniumkeel status` shows. */
export function describeStatus(context: entryContext.EntryContext): unknown {
  const { keeper, members, runners, dispatcher, settings } = context;
  return {
    host: settings.host,
    revision: keeper.revision,
    presetInForce: keeper.view?.head.presetInForce ?? null,
    draining: context.draining,
    stale: context.freshness.stale,
    requests: dispatcher.running,
    entries: members.all.map((member) => ({
      host: member.host,
      place: member.place,
      state: wire.MemberState[member.state].toLowerCase(),
      revision: member.revision,
    })),
    runners: runners.all.map((runner) => ({
      host: runner.host.name,
      service: runner.host.service,
      place: runner.host.place,
      linked: runner.linked,
      leaving: runner.leaving,
      sequences: runner.sequences,
    })),
  };
}

/** What `geraniumkeel hosts` shows: the platform's list beside our own view. */
export function describeHosts(context: entryContext.EntryContext): unknown {
  const { hosts, members, runners } = context;
  return [...hosts.hosts.values()].map((host) => {
    const member = members.get(host.name);
    const runner = runners.get(host.name);
    const seen = member
      ? wire.MemberState[member.state].toLowerCase()
      : runner?.linked
        ? runner.leaving
          ? "leaving"
          : "linked"
        : "unseen";
    const { name, role, place, service, state } = host;
    return { name, role, place, service, listed: state, seen };
  });
}

/** The state dump of an entry process. */
export function describeState(context: entryContext.EntryContext): unknown {
  const { runners, router, limits, dispatcher, queues, peers } = context;
  const { settings, members, keeper, lengths } = context;
  return {
    role: settings.role,
    host: settings.host,
    place: settings.place,
    incarnation: context.incarnation,
    draining: context.draining,
    stale: context.freshness.stale,
    configuration: {
      revision: keeper.revision,
      presetInForce: keeper.view?.head.presetInForce ?? null,
      behind: keeper.behind,
      sections: keeper.sectionRevisions(),
    },
    members: members.all,
    peersLinked: peers.linked,
    peerCounts: peers.counts,
    runnerCounts: runners.all.flatMap((runner) => runner.counts ?? []),
    runners: runners.all.map((runner) => ({
      host: runner.host.name,
      linked: runner.linked,
      leaving: runner.leaving,
      incarnation: runner.hello?.incarnation,
      load: runner.load,
      sequences: runner.sequences,
      attempts: [...runner.attempts.keys()],
    })),
    requests: dispatcher.running,
    queues: Object.fromEntries(
      [...queues].map(([service, queue]) => [
        service,
        {
          waiting: queue.length,
          estimatedWait: queue.estimatedWait,
          surgeExpected: queue.parameters.reserve?.expectsSurge ?? false,
        },
      ]),
    ),
    limits: limits.describe(),
    quarantine: context.quarantine.describe(),
    evacuations: [...context.evacuations.inForce().keys()],
    groups: context.coordinators.describe(),
    routing: router.describe(),
    answerLengths: lengths.describe(),
    memory: process.memoryUsage(),
  };
}

/** Evacuations in force here, and the entries that have them in force. */
export function describeEvacuations({
  evacuations,
  keeper,
  members,
}: entryContext.EntryContext): evacuationView.EvacuationView[] {
  const entries = members.all
    .filter(({ state }) => state !== wire.MemberState.Departed)
    .map(({ host, revision }) => ({
      host,
      inForce: revision >= keeper.revision,
    }));
  return evacuationView.evacuationViews(evacuations.inForce(), entries);
}

/**
 * Request rate limits that runners told this entry in the last seconds. The
 * process beside a runner allocates the whole limit; its state dump shows how
 * much of it is used.
 */
export function describeRateLimits({
  runners,
}: entryContext.EntryContext): unknown[] {
  return runners.all.flatMap(({ host, rateLimit }) => {
    if (!rateLimit) return [];
    const { perSecond, at } = rateLimit;
    const age = Math.round(common.now() - at);
    const { name: runner, service } = host;
    const source = limitSource.LimitSource.Named;
    const allocator = runner;
    return [{ runner, service, source, perSecond, age, allocator, share: 1 }];
  });
}
