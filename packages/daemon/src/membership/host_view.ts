import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";

/**
 * Average bytes a second that reading the list may use while the list changes.
 * The list of a large deployment is long, and gossip and links usually report
 * its changes sooner.
 */
const READ_BYTES_PER_SECOND = 6_000;

/**
 * The platform's list of hosts, as this process last read it. The list lags
 * behind the hosts' real state. While the platform is unavailable, the last
 * list stays.
 */
export class HostView {
  readonly changed = new common.ChangeNotice();
  #hosts = new Map<string, backingServices.Host>();
  readonly #appearedAt = new Map<string, number>();
  #available = true;
  /** Size of the list as last read, in bytes; 0 if it had not changed. */
  #bytes = 0;
  /** When the platform last answered. */
  lastReadAt = -Infinity;

  constructor(
    readonly parameters: {
      hostList: backingServices.HostList;
      logger: common.Logger;
      periodMilliseconds: number;
    },
  ) {}

  /** Hosts by name. */
  get hosts(): ReadonlyMap<string, backingServices.Host> {
    return this.#hosts;
  }

  /**
   * When this process first read a host in the list. A host that disappeared
   * from the list and came back counts from its return; -Infinity if it is not
   * listed.
   */
  appearedAt(name: string): number {
    return this.#appearedAt.get(name) ?? -Infinity;
  }

  /** Listed hosts that have a role. */
  withRole(role: backingServices.HostRole): backingServices.Host[] {
    return [...this.#hosts.values()].filter((host) => host.role === role);
  }

  /** Reads the list periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh();
      const minimumPeriod = (this.#bytes * 1_000) / READ_BYTES_PER_SECOND;
      const period = Math.max(
        this.parameters.periodMilliseconds,
        minimumPeriod,
      );
      await common.sleep(period, signal);
    }
  }

  /** Reads the list once. If that fails, the list last read stays. */
  async refresh(): Promise<void> {
    const { hostList, logger } = this.parameters;
    const read = await hostList.read();
    if (read.isErr()) {
      if (this.#available) {
        const { reason } = read.error;
        logger.event(common.EventCode.HostListUnavailable, { reason });
      }
      this.#available = false;
      return;
    }
    this.#available = true;
    this.lastReadAt = common.now();
    if (!read.value.changed) {
      this.#bytes = 0;
      return;
    }
    const { hosts, bytes } = read.value;
    this.#bytes = bytes;
    this.#replace(new Map(hosts.map((host) => [host.name, host])));
  }

  #replace(hosts: Map<string, backingServices.Host>): void {
    const { logger } = this.parameters;
    const before = this.#hosts;
    this.#hosts = hosts;
    let changed = false;
    for (const [name, host] of hosts) {
      const known = before.get(name);
      if (!known) this.#recordAppearance(name);
      if (JSON.stringify(known) !== JSON.stringify(host)) changed = true;
    }
    for (const name of before.keys()) {
      if (hosts.has(name)) continue;
      this.#appearedAt.delete(name);
      logger.event(common.EventCode.HostDisappeared, { peer: name });
      changed = true;
    }
    if (changed) this.changed.announce();
  }

  #recordAppearance(name: string): void {
    this.#appearedAt.set(name, common.now());
    const code = common.EventCode.HostAppeared;
    this.parameters.logger.event(code, { peer: name });
  }
}
