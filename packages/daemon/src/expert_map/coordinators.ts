import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as configurationHolder from "../configuration/configuration_holder.ts";
import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import * as groupConnections from "./group_connections.ts";
import * as groupCoordinator from "./group_coordinator.ts";
import * as leaseModule from "../lease/lease.ts";
import type * as mapStore from "./map_store.ts";

/** Interval between checks of which groups to coordinate. */
const RECONCILE_INTERVAL_MILLISECONDS = 500;
/** Time after which the outcome of an unanswered order counts as unknown. */
const ORDER_TIMEOUT_MILLISECONDS = 2_500;

/** Dependencies of `Coordinators`, supplied by its entry. */
export interface CoordinatorsParameters {
  host: string;
  incarnation: string;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  history: common.HistoryRecorder;
  keeper: configurationHolder.ConfigurationHolder;
  runners: runnerDirectory.RunnerDirectory;
  /** Host names of all live entries, including this one. */
  entries: () => string[];
  table: backingServices.TableService;
  maps: mapStore.MapStore;
  unreadableLeases: common.UnreadableRows;
  /** Duration of a group's lease. */
  leaseMilliseconds: number;
  random: common.Random;
}

/**
 * Runs a coordinator for each group that rendezvous hashing assigns to this
 * entry. A coordinator plans the group's expert maps and switches its ranks to
 * them. The hashing spreads groups over the entries, and all other entries
 * request no lease for the group.
 */
export class Coordinators {
  readonly #running = new Map<
    string,
    { coordinator: groupCoordinator.GroupCoordinator; stop: AbortController }
  >();
  /** Map switches that the coordinators of this entry are running now. */
  #switchesInProgress = 0;

  constructor(readonly parameters: CoordinatorsParameters) {}

  /** State of the groups that this entry coordinates, for the state dump. */
  describe(): unknown {
    return [...this.#running.values()].map(({ coordinator }) =>
      coordinator.describe(),
    );
  }

  /**
   * Starts and stops coordinators as the live entries and the linked runners
   * change, until the signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#reconcile(signal);
      await common.sleep(RECONCILE_INTERVAL_MILLISECONDS, signal);
    }
  }

  /**
   * Stops coordinators of groups assigned elsewhere and starts missing ones.
   */
  #reconcile(signal: AbortSignal): void {
    const { runners, entries, host } = this.parameters;
    const groups = new Map<string, runnerLink.RunnerLink>();
    for (const runner of runners.all) {
      if (runner.hello?.group) groups.set(runner.hello.group, runner);
    }
    const liveEntries = entries();
    for (const [group, { stop }] of this.#running) {
      const preferred = common.rendezvous(group, liveEntries) === host;
      if (preferred && groups.has(group)) continue;
      stop.abort();
      this.#running.delete(group);
    }
    for (const [group, runner] of groups) {
      if (this.#running.has(group)) continue;
      if (common.rendezvous(group, liveEntries) !== host) continue;
      this.#start(group, runner.host.service, signal);
    }
  }

  #start(group: string, service: string, signal: AbortSignal): void {
    const { lifeCycle } = this.parameters;
    const coordinator = this.#create(group, service);
    const stop = new AbortController();
    this.#running.set(group, { coordinator, stop });
    const stopping = AbortSignal.any([signal, stop.signal]);
    lifeCycle.run(`coordinator ${group}`, () =>
      coordinator.run({ stopping, closing: signal }),
    );
  }

  #create(group: string, service: string): groupCoordinator.GroupCoordinator {
    const { host, incarnation, logger, history, keeper } = this.parameters;
    const { table, maps, leaseMilliseconds } = this.parameters;
    return new groupCoordinator.GroupCoordinator({
      group,
      lease: new leaseModule.Lease({
        table,
        key: `leases/group/${group}`,
        host,
        incarnation,
        durationMilliseconds: leaseMilliseconds,
        random: this.parameters.random,
        unreadable: this.parameters.unreadableLeases,
      }),
      maps,
      rankConnections: () =>
        groupConnections.groupConnections({
          group,
          runners: this.parameters.runners,
          timeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
        }),
      experts: () => expertsOf(keeper.view?.service(service)),
      preset: () => keeper.view?.preset,
      mayStartSwitch: () => {
        const maximumSwitches =
          keeper.view?.preset.placement.maximumSwitches ?? 0;
        return this.#switchesInProgress < maximumSwitches;
      },
      onSwitching: (switching) => {
        this.#switchesInProgress += switching ? 1 : -1;
      },
      logger,
      history,
      host,
      renewIntervalMilliseconds: leaseMilliseconds / 4,
    });
  }
}

/** Expert settings of a model service; `undefined` for any other service. */
function expertsOf(
  service: configuration.Service | undefined,
): configuration.Experts | undefined {
  if (service?.kind !== configuration.ServiceKind.Model) return undefined;
  return service.experts;
}
