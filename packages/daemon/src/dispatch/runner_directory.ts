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
   * Since when `subscription.chooseRunners` has not chosen the runner from the
   * host list, by this process's clock; `undefined` while it chooses the
   * runner.
   */
  notChosenSince: number | undefined;
}

/**
 * The runners that this entry subscribes to, that is, that
 * `subscription.chooseRunners` chooses from the host list. The entry links to
 * them and may send them requests. A runner that the host list calls leaving,
 * or that is no longer chosen, gets no new work. The directory removes a runner
 * once it has no open attempts and its URL has changed, or it is no longer
 * chosen and either has no link or has not been chosen for the time
 * `goneAfter`.
 */
export class RunnerDirectory {
  /**
   * Announced whenever the directory has applied the host list, whether or not
   * the set of runners changed.
   */
  readonly changed = new common.ChangeNotice();
  readonly #runners = new Map<string, SubscribedRunner>();

  constructor(
    readonly parameters: {
      hosts: hostView.HostView;
      lifeCycle: common.LifeCycle;
      linkParameters: runnerLink.RunnerLinkParameters;
    },
  ) {}

  /** All runners that this entry subscribes to. */
  get all(): runnerLink.RunnerLink[] {
    return [...this.#runners.values()].map(({ link }) => link);
  }

  /** Those of the runners that serve a service. */
  ofService(service: string): runnerLink.RunnerLink[] {
    return this.all.filter((runner) => runner.host.service === service);
  }

  /** Those of the runners whose hello says that they are ranks of a group. */
  ofGroup(group: string): runnerLink.RunnerLink[] {
    return this.all.filter((runner) => runner.hello?.group === group);
  }

  /**
   * The runner on a host; `undefined` if this entry does not subscribe to it.
   */
  get(host: string): runnerLink.RunnerLink | undefined {
    return this.#runners.get(host)?.link;
  }

  /**
   * Applies the host list until the signal aborts: after each change, and again
   * after 1,000 ms without a change, because the removal of a runner also
   * depends on the time elapsed and on its open attempts.
   */
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
      // `undefined` if the runner is no longer chosen, even if the host list
      // still contains it.
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
   * Whether a runner that is not chosen now may soon be chosen again, because
   * the host list lacks it only for a moment: the list lags, and a read may
   * return an older list than the one before. Suppose that this entry leads the
   * switch of a group's expert map and the directory removed a rank of the
   * group. The entry could not send the rank the order to go on; its engine,
   * and with it all ranks of the group, would hold until the list contains the
   * rank again. An open link is a better sign that the runner is still there,
   * so a linked runner stays until it has not been chosen for `goneAfter`
   * milliseconds.
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
    this.parameters.lifeCycle.keepRunning(`runner ${host.name}`, () =>
      link.run(stopped),
    );
  }
}
