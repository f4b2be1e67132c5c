import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";

/**
 * Largest average of bytes a second that this process reads of the host list
 * while the list changes. In a large deployment the list is long, so this
 * process reads it less often. Gossip and links usually report changes of hosts
 * sooner than the list does.
 */
const READ_BYTES_PER_SECOND = 6_000;

/**
 * The list of hosts, as this process last read it from the platform: the HTTP
 * service that lists the deployment's hosts and stores the table and the
 * objects. The list lags behind the hosts' real state. While the platform is
 * unavailable, this process uses the list that it last read.
 */
export class HostView {
  /** Announces that a host appeared in the list, changed or disappeared. */
  readonly changed = new common.ChangeNotice();
  #hosts = new Map<string, backingServices.Host>();
  readonly #appearedAt = new Map<string, number>();
  #available = true;
  /**
   * Bytes of the list that the last read transferred; 0 if the platform
   * answered that the list had not changed since the read before.
   */
  #lastReadBytes = 0;
  /** When the platform last answered. */
  lastReadAt = -Infinity;

  constructor(
    readonly parameters: {
      hostList: backingServices.HostList;
      logger: common.Logger;
      periodMilliseconds: number;
      unreadable: common.UnreadableRows;
    },
  ) {}

  /** Hosts by name. */
  get hosts(): ReadonlyMap<string, backingServices.Host> {
    return this.#hosts;
  }

  /**
   * When a host appeared in the list, by the reads of this process. If the host
   * disappeared from the list and appeared again, this is the later time.
   * -Infinity if the host is not in the list.
   */
  appearedAt(name: string): number {
    return this.#appearedAt.get(name) ?? -Infinity;
  }

  /** Listed hosts that have the given role. */
  withRole(role: backingServices.HostRole): backingServices.Host[] {
    return [...this.#hosts.values()].filter((host) => host.role === role);
  }

  /** Reads the list periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh();
      const minimumPeriod =
        (this.#lastReadBytes * 1_000) / READ_BYTES_PER_SECOND;
      const period = Math.max(
        this.parameters.periodMilliseconds,
        minimumPeriod,
      );
      await common.sleep(period, signal);
    }
  }

  /** Reads the list once. If that fails, the list last read stays in use. */
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
      this.#lastReadBytes = 0;
      return;
    }
    const { hosts, unreadable, bytes } = read.value;
    this.#lastReadBytes = bytes;
    const unreadableKeys = new Set(unreadable.map(({ key }) => key));
    this.parameters.unreadable.retain((key) => unreadableKeys.has(key));
    for (const { key, text, problems } of unreadable)
      this.parameters.unreadable.note(key, text, problems);
    this.#replace(new Map(hosts.map((host) => [host.name, host])));
  }

  #replace(hosts: Map<string, backingServices.Host>): void {
    const { logger } = this.parameters;
    const before = this.#hosts;
    this.#hosts = hosts;
    let hasChanged = false;
    for (const [name, host] of hosts) {
      const known = before.get(name);
      if (!known) this.#recordAppearance(name);
      if (JSON.stringify(known) !== JSON.stringify(host)) hasChanged = true;
    }
    for (const name of before.keys()) {
      if (hosts.has(name)) continue;
      this.#appearedAt.delete(name);
      logger.event(common.EventCode.HostDisappeared, { peer: name });
      hasChanged = true;
    }
    if (hasChanged) this.changed.announce();
  }

  #recordAppearance(name: string): void {
    this.#appearedAt.set(name, common.now());
    const code = common.EventCode.HostAppeared;
    this.parameters.logger.event(code, { peer: name });
  }
}
