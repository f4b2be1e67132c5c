import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";
import * as wire from "@geraniumkeel/wire";
import type * as entryContext from "../entry/entry_context.ts";

/** How often a waiting report looks again: a host's time to be heard passes. */
const LOOK_MILLISECONDS = 100;

/** How far a revision is in force; the lists hold names of entry hosts. */
export interface InForceReport {
  revision: number;
  /** Every entry that may serve has it in force, as far as can be known. */
  everywhere: boolean;
  inForce: string[];
  /** Heard, or listed so recently that they may be starting. */
  notReached: string[];
  /** Listed as live by the platform but silent: dead, or cut off from here. */
  unheard: string[];
}

/** What a report is made from. */
export interface InForceParameters {
  revision: number;
  members: wire.Member[];
  /** Entries that the platform lists as live; `undefined` when never read. */
  listed: { name: string; appearedAt: number }[] | undefined;
  now: number;
  goneAfterMilliseconds: number;
}

/**
 * Sorts entries by whether a revision is in force there. An entry that the
 * platform lists but that was not heard yet counts as not reached for a while:
 * counting only who was heard, the first process of a start reported a preset
 * in force everywhere when it knew of nobody but itself. Later it counts as
 * silent, or a dead host in a lagging list would hold up each report.
 */
export function inForceReport(parameters: InForceParameters): InForceReport {
  const { revision, members, listed, now } = parameters;
  const inForce: string[] = [];
  const notReached: string[] = [];
  const unheard: string[] = [];
  const states = new Map<string, wire.MemberState>();
  for (const member of members) {
    states.set(member.host, member.state);
    if (member.state === wire.MemberState.Departed) continue;
    if (member.revision >= revision) inForce.push(member.host);
    else notReached.push(member.host);
  }
  for (const { name, appearedAt } of listed ?? []) {
    const state = states.get(name);
    const starting = now - appearedAt < parameters.goneAfterMilliseconds;
    if (state === wire.MemberState.Departed) unheard.push(name);
    else if (state !== undefined) continue;
    else if (starting) notReached.push(name);
    else unheard.push(name);
  }
  const everywhere = notReached.length === 0 && listed !== undefined;
  return { revision, everywhere, inForce, notReached, unheard };
}

/** Which entries have a revision in force, as far as known here. */
export function reportInForce(
  context: entryContext.EntryContext,
  revision: number,
): InForceReport {
  const { members, hosts, settings } = context;
  const wasRead = hosts.lastReadAt > -Infinity;
  return inForceReport({
    revision,
    members: members.all,
    listed: wasRead ? listedEntries(context) : undefined,
    now: common.now(),
    goneAfterMilliseconds: settings.timing.goneAfter,
  });
}

/** Waits until a revision is in force on all entries heard, or a timeout. */
export async function awaitInForce(
  context: entryContext.EntryContext,
  revision: number,
): Promise<InForceReport> {
  const { members, settings, logger } = context;
  const deadline = common.now() + settings.timing.inForceTimeout;
  let report = reportInForce(context, revision);
  while (!report.everywhere && common.now() < deadline) {
    await members.changed.next(LOOK_MILLISECONDS);
    report = reportInForce(context, revision);
  }
  if (!report.everywhere) {
    const { notReached } = report;
    const code = common.EventCode.ConfigurationNotReached;
    logger.event(code, { revision, notReached });
  }
  return report;
}

function listedEntries(
  context: entryContext.EntryContext,
): { name: string; appearedAt: number }[] {
  return context.hosts
    .withRole(backingServices.HostRole.Entry)
    .filter(({ state }) => state === backingServices.HostState.Live)
    .map(({ name }) => ({ name, appearedAt: context.hosts.appearedAt(name) }));
}
