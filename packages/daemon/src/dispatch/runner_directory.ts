import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";
import type * as hostView from "../membership/host_view.ts";
import * as runnerLink from "./runner_link.ts";
import * as subscription from "./subscription.ts";

/** A runner that this entry links to. */
interface SubscribedRunner {
  link: runnerLink.RunnerLink;
  /** Stops the task that maintains the link. */
  stop: AbortController;
  /**
   * When the host list first lacked the runner, by this process's clock;
   * `undefined` while the list has it.
   */
  notChosenSince: number | undefined;
}

/**
 * The runners that this entry subscribes to: it links to them and may send them
 * requests. A runner that the host list calls leaving or no longer contains
 * gets no new work. The directory removes a runner that the list has lacked for
 * some time, once it has no open attempts.
 */
export class RunnerDirectory {
  /** Announces that the directory has applied the host list. */
  readonly changed = new common.ChangeNotice();
  readonly #runners = new Map<string, SubscribedRunner>();

  constructor(
    readonly parameters: {
      hosts: hostView.HostView;
      lifeCycle: common.LifeCycle;
      linkParameters: runnerLink.RunnerLinkParameters;
    },
  ) {}

  /** All runners. */
  get all(): runnerLink.RunnerLink[] {
    return [...this.#runners.values()].map(({ link }) => link);
  }

  /** Runners of a service. */
  ofService(service: string): runnerLink.RunnerLink[] {
    return this.all.filter((runner) => runner.host.service === service);
  }

  /** Runners that reported to be ranks of a group. */
  ofGroup(group: string): runnerLink.RunnerLink[] {
    return this.all.filter((runner) => runner.hello?.group === group);
  }

  /**
   * The runner on a host; `undefined` if this entry does not subscribe to it.
   */
  get(host: string): runnerLink.RunnerLink | undefined {
    return this.#runners.get(host)?.link;
  }

  /** Applies each change of the host list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { hosts } = this.parameters;
    while (!signal.aborted) {
      this.#reconcile(signal);
      await hosts.changed.next(1_000, signal);
    }
  }

  #reconcile(signal: AbortSignal): void {
    const { hosts, linkParameters } = this.parameters;
    const { host, place, region } = linkParameters.settings;
    const wanted = subscription.chooseRunners({
      self: { host, place, region },
      hosts: hosts.withRole(backingServices.HostRole.Upstream),
    });
    for (const [name, runner] of this.#runners) {
      const listed = wanted.get(name);
      runner.link.listedLeaving =
        listed?.state !== backingServices.HostState.Live;
      const moved = listed && listed.linkUrl !== runner.link.host.linkUrl;
      if (listed && !moved) {
        runner.notChosenSince = undefined;
        continue;
      }
      if (runner.link.attempts.size > 0) continue;
      if (!moved && this.#mayBeChosenAgain(runner)) continue;
      runner.stop.abort();
      this.#runners.delete(name);
    }
    for (const [name, listed] of wanted) {
      if (this.#runners.has(name)) continue;
      this.#add(listed, signal);
    }
    this.changed.announce();
  }

  /**
   * Whether the host list may soon contain a runner again that it lacks now.
   * The list lags, and a read may return an older list than the one before. If
   * the directory removed a rank for that reason during a switch of the expert
   * map, all ranks of its group would hold until the list contains the rank
   * again. An open link is a better sign that the runner is still there, so a
   * linked runner stays until the list has lacked it for the time `goneAfter`.
   */
  #mayBeChosenAgain(runner: SubscribedRunner): boolean {
    runner.notChosenSince ??= common.now();
    const { goneAfter } = this.parameters.linkParameters.settings.timing;
    const notChosenMilliseconds = common.now() - runner.notChosenSince;
    return runner.link.linked && notChosenMilliseconds < goneAfter;
  }

  #add(host: backingServices.Host, signal: AbortSignal): void {
    const link = new runnerLink.RunnerLink(
      host,
      this.parameters.linkParameters,
    );
    const stop = new AbortController();
    this.#runners.set(host.name, { link, stop, notChosenSince: undefined });
    const stopped = AbortSignal.any([signal, stop.signal]);
    this.parameters.lifeCycle.run(`runner ${host.name}`, () =>
      link.run(stopped),
    );
  }
}
