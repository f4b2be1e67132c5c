import * as common from "@geraniumkeel/common";

/** Time for something on this host to accept a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/**
 * Lives of the engine or service beside this process. All runs there pass through this
 * process, so it knows for certain which of them were under way when a life ended.
 */
export class BackEndLives {
  #ended = 0;
  #endedAt = -Infinity;
  #look: Promise<common.Presence> | undefined;

  constructor(
    readonly parameters: {
      /** Incarnation of this process: lives are numbered anew in each. */
      incarnation: string;
      presence: () => Promise<common.Presence>;
    },
  ) {}

  /**
   * Name of the life that ended under a run that broke off; empty if none did. Runs that
   * were under way together are told the same life.
   */
  async endedUnder(startedAt: number): Promise<string> {
    if (startedAt > this.#endedAt) {
      this.#look ??= this.parameters.presence();
      const presence = await this.#look;
      this.#look = undefined;
      if (presence !== common.Presence.Refused) return "";
    }
    // Another run may have found out meanwhile.
    if (startedAt > this.#endedAt) {
      this.#ended++;
      this.#endedAt = common.now();
    }
    return `${this.parameters.incarnation}/${this.#ended}`;
  }
}

/** Looks at the address of a back end. */
export function presenceAtUrl(url: string): Promise<common.Presence> {
  const { hostname: host, port, protocol } = new URL(url);
  const usualPort = protocol === "https:" ? 443 : 80;
  return common.presenceAt(
    { host, port: Number(port) || usualPort },
    CONNECT_TIMEOUT_MILLISECONDS,
  );
}
