import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as historyModule from "../checkers/history.ts";
import * as endingMark from "../ending_mark.ts";
import type * as cluster from "../testing/cluster.ts";
import * as tcpProxy from "../testing/tcp_proxy.ts";
import * as fault from "./fault.ts";

/** Requests a second that a rank names. */
const NAMED_LIMIT = "0.25";
/** Shortest time for which it is named: fewer requests show no breach. */
const MIN_LIMITED_MILLISECONDS = 1_900;
/** Rest that a rank asks for, in seconds. */
const WANTED_REST_SECONDS = "0.5";

/** A cluster under faults, with the history that is being recorded. */
export interface Target {
  system: cluster.Cluster;
  history: historyModule.History;
  random: common.Random;
}

/** Brings a fault about, and undoes it after its length. */
export async function inject(
  target: Target,
  timed: fault.TimedFault,
): Promise<void> {
  const { system, random } = target;
  const { lengthMilliseconds } = timed;
  const pause = () => common.sleep(lengthMilliseconds);
  const { FaultKind } = fault;
  const { engine, plain, platform } = system;
  const { faults } = engine.group;
  switch (timed.kind) {
    case FaultKind.StallRank:
      faults.stalledUntil = common.now() + lengthMilliseconds;
      return pause();
    case FaultKind.SlowRank:
      faults.slowRank = random.below(engine.group.ranks.length);
      faults.slowFactor = 4;
      await pause();
      faults.slowFactor = 1;
      return;
    case FaultKind.BreakStreams:
      faults.breakStreams = 10;
      return pause();
    case FaultKind.RefuseCalls:
      faults.refuseCalls = 10;
      return pause();
    case FaultKind.DropCacheEvents:
      faults.dropCacheEvents = 20;
      return pause();
    case FaultKind.BreakPlainAnswers:
      plain.faults.breakAnswers = 5;
      return pause();
    case FaultKind.DropPlainCalls:
      plain.faults.dropCalls = 5;
      return pause();
    case FaultKind.SlowPlain:
      plain.faults.delayMilliseconds = 200;
      await pause();
      plain.faults.delayMilliseconds = 0;
      return;
    case FaultKind.KillUpstream:
      return killUpstream(target, pause, true);
    case FaultKind.KillEntry:
      return killEntry(target, pause, random.below(system.entries.length));
    case FaultKind.KillCoordinator:
      return killEntry(target, pause, coordinatorOf(system));
    case FaultKind.SilentUpstreamLinks:
      return withProxies(
        system.upstreams,
        tcpProxy.ProxyMode.SilenceOpen,
        pause,
      );
    case FaultKind.SilentPeerLinks:
      return withProxies(system.entries, tcpProxy.ProxyMode.SilenceOpen, pause);
    case FaultKind.CutUpstreamLinks:
      return withProxies(system.upstreams, tcpProxy.ProxyMode.Cut, pause);
    case FaultKind.UnreachableUpstream:
      return withProxies(
        [random.pick(system.upstreams)],
        tcpProxy.ProxyMode.SilenceAll,
        pause,
      );
    case FaultKind.LateMessages: {
      const all = [...system.upstreams, ...system.entries];
      for (const { proxy } of all) proxy?.delay(100);
      await pause();
      for (const { proxy } of all) proxy?.delay(0);
      return;
    }
    case FaultKind.StoreDown:
      platform.faults.down = true;
      await pause();
      platform.faults.down = false;
      return;
    case FaultKind.StoreSilent:
      platform.faults.silent = true;
      await pause();
      platform.faults.silent = false;
      return;
    case FaultKind.StoreSlow:
      platform.faults.slowMilliseconds = 150;
      await pause();
      platform.faults.slowMilliseconds = 0;
      return;
    case FaultKind.LostStoreAnswers:
      platform.faults.loseAnswers = 4;
      return pause();
    case FaultKind.LateStoreWrites:
      platform.faults.delayEffects = 3;
      platform.faults.delayEffectMilliseconds = 150;
      return pause();
    case FaultKind.StaleStoreReads:
      platform.faults.staleReads = true;
      await pause();
      platform.faults.staleReads = false;
      return;
    case FaultKind.HostListLag:
      platform.faults.hostListLagMilliseconds = 1_000;
      await pause();
      platform.faults.hostListLagMilliseconds = 0;
      return;
    case FaultKind.LostOrderAnswers:
      faults.loseOrderAnswers = 6;
      return pause();
    case FaultKind.LateOrders:
      faults.orderDelayMilliseconds = 200;
      await pause();
      faults.orderDelayMilliseconds = 0;
      return;
    case FaultKind.OperatorsRace:
      await Promise.all([
        usePreset(target, "peak", 0),
        usePreset(target, "ordinary", 1),
      ]);
      return;
    case FaultKind.SwitchPreset:
      return usePreset(target, "peak", random.below(system.entries.length));
    case FaultKind.Maintenance:
      await usePreset(target, "maintenance", 0);
      await pause();
      return usePreset(target, "ordinary", 0);
    case FaultKind.DrainUpstream:
      return drainUpstream(target);
    case FaultKind.DrainEntry:
      return drainEntry(target);
    case FaultKind.ReplaceUpstream:
      return killUpstream(target, pause, false);
    case FaultKind.LostOrders:
      faults.dropOrders = wire.OrderKind.Go;
      await pause();
      faults.dropOrders = "";
      return;
    case FaultKind.EndingRequest:
      return sendEnding(target);
    case FaultKind.StoreReturns:
      return storeReturns(target, pause);
    case FaultKind.RateLimit:
      faults.limitedRank = random.below(engine.group.ranks.length);
      faults.rateLimit = NAMED_LIMIT;
      await common.sleep(
        Math.max(lengthMilliseconds, MIN_LIMITED_MILLISECONDS),
      );
      faults.limitedRank = -1;
      return;
    case FaultKind.Rest:
      faults.restingRank = random.below(engine.group.ranks.length);
      faults.restWanted = WANTED_REST_SECONDS;
      await pause();
      faults.restingRank = -1;
      return;
  }
}

/** Time for which the table service is away before it comes back. */
const RETURN_AWAY_MILLISECONDS = 100;

/** The table service comes back from a copy, and has lost what was written since. */
async function storeReturns(
  { system }: Target,
  pause: () => Promise<void>,
): Promise<void> {
  const { platform } = system;
  const copy = platform.table.copy();
  await pause();
  platform.faults.down = true;
  await common.sleep(RETURN_AWAY_MILLISECONDS);
  platform.table.comeBackFrom(copy);
  platform.faults.down = false;
}

/** Time for which an ending request comes again: until it must be held, and on. */
const ENDING_MILLISECONDS = 8_000;
const ENDING_PAUSE_MILLISECONDS = 120;
const ENDS_AFTER_MILLISECONDS = 20;

/** One request comes again and again, at any entry, and ends the engines that run it. */
async function sendEnding(target: Target): Promise<void> {
  const { system, history, random } = target;
  const work = `ending-${history.endings.length}`;
  history.endings.push({ work, starts: [], ends: [] });
  const prompt = `${work} ${endingMark.endingMark(ENDS_AFTER_MILLISECONDS)}`;
  const until = common.now() + ENDING_MILLISECONDS;
  while (common.now() < until) {
    const entry = random.below(system.entries.length);
    // Broken answers and refusals are what it earns.
    await system.generate({ prompt, entry }).catch(() => undefined);
    await common.sleep(ENDING_PAUSE_MILLISECONDS);
  }
}

/** Uses a preset and notes the change if it was accepted. */
export async function usePreset(
  target: Target,
  preset: string,
  entry: number,
): Promise<void> {
  const { system, history } = target;
  try {
    const answer = await system.usePreset(preset, entry);
    if (answer.status !== 200) return;
    const revision = answer.body.revision as number;
    history.accepted.push({ revision, at: common.now() });
  } catch {
    // The entry died under the operator; whether it was accepted is not known.
  }
}

async function withProxies(
  processes: cluster.ClusterProcess[],
  mode: tcpProxy.ProxyMode,
  pause: () => Promise<void>,
): Promise<void> {
  for (const { proxy } of processes) proxy?.set(mode);
  await pause();
  for (const { proxy } of processes) proxy?.set(tcpProxy.ProxyMode.Pass);
}

async function killUpstream(
  target: Target,
  pause: () => Promise<void>,
  staysListed: boolean,
): Promise<void> {
  const { system, random } = target;
  const killed = random.pick(system.upstreams);
  await system.kill(killed, staysListed);
  await pause();
  await restartUpstream(system, killed.name);
}

/** Starts the upstream process of a host again, as a new incarnation. */
async function restartUpstream(
  system: cluster.Cluster,
  name: string,
): Promise<void> {
  const [kind, number] = name.split("-");
  if (kind === "rank") await system.addRank(Number(number));
  else await system.addPlain(Number(number));
}

async function killEntry(
  target: Target,
  pause: () => Promise<void>,
  index: number,
): Promise<void> {
  const { system } = target;
  // An operator and some callers must still find an entry.
  if (system.entries.length < 2) return pause();
  const killed = system.entries[index];
  await system.kill(killed, true);
  await pause();
  await system.addEntry(killed.name);
}

/** Index of the entry that coordinates the group; the first if none does. */
function coordinatorOf(system: cluster.Cluster): number {
  const index = system.entries.findIndex(({ running }) => {
    const { groups } = running.state() as { groups: { fencing?: number }[] };
    return groups.some(({ fencing }) => fencing !== undefined);
  });
  return Math.max(0, index);
}

async function drainUpstream(target: Target): Promise<void> {
  const { system, history, random } = target;
  const ranks = system.upstreams.filter(({ name }) => name.startsWith("rank"));
  const leaving = random.pick(ranks);
  const host = leaving.name;
  history.leavings.push({ host, at: common.now() });
  await leaving.running.drain();
  await system.kill(leaving);
  await restartUpstream(system, host);
  // The new incarnation may take work again.
  history.leavings.pop();
}

async function drainEntry(target: Target): Promise<void> {
  const { system } = target;
  if (system.entries.length < 2) return;
  const leaving = system.entries[system.entries.length - 1];
  await leaving.running.drain();
  await system.kill(leaving);
  await system.addEntry(leaving.name);
}
