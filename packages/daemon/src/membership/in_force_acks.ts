import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as memberTable from "./member_table.ts";

/** Acknowledgements received within this time are sent in one message. */
const BATCH_MILLISECONDS = 10;

/** What `InForceAcks` is created with. */
export interface InForceAcksParameters {
  members: memberTable.MemberTable;
  /** Names of the hosts that this entry has a link to. */
  linked: () => string[];
  /** Sends a message to a linked host; false if there is no link. */
  send: (host: string, message: wire.Message) => boolean;
}

/**
 * Acknowledges that a revision of the configuration is in force.
 * Acknowledgements are sent back along the path of the push: each entry sends
 * its own, and those that it receives, to its parent, the entry that pushed the
 * revision to it. So an acknowledgement crosses as many links as the push did.
 * If every entry sent its new revision to all others instead, each of 60
 * entries would transfer 181 KB per change.
 */
export class InForceAcks {
  readonly #changed = new common.ChangeNotice();
  #revision = 0;
  /**
   * The host that pushed the revision to this entry; `undefined` if this entry
   * accepted the change itself or read it from the store.
   */
  #parent: string | undefined;
  /**
   * Hosts that have the revision in force and are not yet reported to the
   * parent.
   */
  #unsent = new Set<string>();

  constructor(readonly parameters: InForceAcksParameters) {}

  /**
   * Records that a revision is in force here, and which host pushed it, if any.
   */
  begin(revision: number, parent: string | undefined): void {
    if (revision <= this.#revision) {
      this.#adoptParent(revision, parent);
      return;
    }
    this.#revision = revision;
    this.#parent = parent;
    this.parameters.members.noteRevision(revision);
    this.#queueAll();
  }

  /**
   * Records that a host has a revision in force. If this is new, and the
   * revision is not older than the last one given to `begin`, queues the
   * acknowledgement for the parent.
   */
  confirm(host: string, revision: number): void {
    const isNew = this.parameters.members.learnRevision(host, revision);
    if (!isNew || revision < this.#revision) return;
    this.#unsent.add(host);
    this.#changed.announce();
  }

  /** Sends acknowledgements to the parent until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#flush();
      await this.#changed.next(1_000, signal);
      await common.sleep(BATCH_MILLISECONDS, signal);
    }
  }

  /**
   * Makes a host the parent that pushed the current revision to this entry, if
   * this entry had no parent because it read the revision from the store.
   */
  #adoptParent(revision: number, parent: string | undefined): void {
    if (revision !== this.#revision || parent === undefined) return;
    if (this.#parent !== undefined) return;
    this.#parent = parent;
    this.#queueAll();
  }

  #queueAll(): void {
    const { members } = this.parameters;
    this.#unsent = new Set(
      members.present
        .filter((member) => member.revision >= this.#revision)
        .map((member) => member.host),
    );
    this.#changed.announce();
  }

  #flush(): void {
    if (this.#parent === undefined || this.#unsent.size === 0) return;
    const hosts = [...this.#unsent].filter((host) => host !== this.#parent);
    const kind = wire.MessageKind.InForce;
    const message = { kind, revision: this.#revision, hosts } as const;
    if (this.parameters.send(this.#parent, message)) {
      this.#unsent.clear();
      return;
    }
    // The link to the parent is lost, so the first linked entry becomes the
    // parent. Any neighbour can forward the acknowledgements to the entry that
    // waits for them.
    this.#parent = this.parameters.linked()[0];
  }
}
