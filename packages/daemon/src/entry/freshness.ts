import * as common from "@geraniumkeel/common";

/**
 * Whether this entry can trust its configuration. One that hears neither a peer
 * nor the store for longer than the promised seconds may be serving under a
 * preset that was replaced; a process that wakes from a long pause is in the
 * same place. Both are found by the clock at each request, and not by a timer,
 * as a timer was paused with the rest. Work is then refused as not run; callers
 * have other entries.
 */
export class Freshness {
  #isolated = false;
  #storeHeardAt = -Infinity;

  constructor(
    readonly parameters: {
      isolatedAfterMilliseconds: number;
      lastPeerAt: () => number;
      /** Whether there are other entries that could have changed anything. */
      hasPeers: () => boolean;
      logger: common.Logger;
    },
  ) {}

  /** The store has answered. */
  hearStore(): void {
    this.#storeHeardAt = common.now();
  }

  /** Whether work must be refused now. */
  get stale(): boolean {
    const { parameters } = this;
    const heardAt = Math.max(parameters.lastPeerAt(), this.#storeHeardAt);
    const silent =
      common.now() - heardAt > parameters.isolatedAfterMilliseconds;
    const isolated = silent && parameters.hasPeers();
    if (isolated !== this.#isolated) {
      this.#isolated = isolated;
      const code = isolated
        ? common.EventCode.EntryIsolated
        : common.EventCode.EntryRejoined;
      parameters.logger.event(code);
    }
    return isolated;
  }
}
