import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";
import type * as hostView from "../membership/host_view.ts";
import * as runnerLink from "./runner_link.ts";
import * as subscription from "./subscription.ts";

/** A runner with what ends its task. */
interface SubscribedRunner {
  link: runnerLink.RunnerLink;
  stop: AbortController;
  /** When the list first lacked it, by this process's clock. */
  unlistedAt: number | undefined;
}

/**
 * The runners this entry subscribes to. A runner that the list calls leaving,
 * or no longer names, gets no new work, and is forgotten when nothing is open.
 */
export class RunnerDirectory {
  readonly changed = new common.ChangeNotice();
  readonly #runners = new Map<string, SubscribedRunner>();

  constructor(
    readonly parameters: {
      hosts: hostView.HostView;
      lifeCycle: common.LifeCycle;
      link: runnerLink.RunnerLinkParameters;
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

  /** Runners that said they are of a group. */
  ofGroup(group: string): runnerLink.RunnerLink[] {
    return this.all.filter((runner) => runner.hello?.group === group);
  }

  /** Runner on a host. */
  get(host: string): runnerLink.RunnerLink | undefined {
    return this.#runners.get(host)?.link;
  }

  /** Follows the host list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { hosts } = this.parameters;
    while (!signal.aborted) {
      this.#reconcile(signal);
      await hosts.changed.next(1_000, signal);
    }
  }

  #reconcile(signal: AbortSignal): void {
    const { hosts, link } = this.parameters;
    const { host, place, region } = link.settings;
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
        runner.unlistedAt = undefined;
        continue;
      }
      if (runner.link.attempts.size > 0) continue;
      if (!moved && this.#mayBeListedAgain(runner)) continue;
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
   * The list lags, and a read may be older than the last one. A rank dropped for
   * that, in the middle of a switch, would have its whole group hold until the
   * list names it again; its link tells better whether it is there.
   */
  #mayBeListedAgain(runner: SubscribedRunner): boolean {
    runner.unlistedAt ??= common.now();
    const { goneAfter } = this.parameters.link.settings.timing;
    const unlisted = common.now() - runner.unlistedAt;
    return runner.link.linked && unlisted < goneAfter;
  }

  #add(host: backingServices.Host, signal: AbortSignal): void {
    const link = new runnerLink.RunnerLink(host, this.parameters.link);
    const stop = new AbortController();
    this.#runners.set(host.name, { link, stop, unlistedAt: undefined });
    const stopped = AbortSignal.any([signal, stop.signal]);
    this.parameters.lifeCycle.run(`runner ${host.name}`, () =>
      link.run(stopped),
    );
  }
}
