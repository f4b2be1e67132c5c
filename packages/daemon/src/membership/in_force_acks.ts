import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as memberTable from "./member_table.ts";

/** Acknowledgements heard within this time travel in one message. */
const BATCH_MILLISECONDS = 10;

/** What acknowledgements need of the links. */
export interface InForceAcksParameters {
  members: memberTable.MemberTable;
  linked: () => string[];
  send: (host: string, message: wire.Message) => boolean;
}

/**
 * Acknowledges a revision back along the way it was pushed: each entry tells the
 * one it got it from, and passes on what it is told. Flooding every entry's new
 * revision to all others took 181 KB a change at each of 60 entries; this way an
 * acknowledgement crosses as many links as the push did.
 */
export class InForceAcks {
  readonly #changed = new common.ChangeNotice();
  #revision = 0;
  /** Who pushed it here; `undefined` where it was accepted or read. */
  #parent: string | undefined;
  /** Hosts to be told of, upwards. */
  #unsent = new Set<string>();

  constructor(readonly parameters: InForceAcksParameters) {}

  /** A revision is in force here; `parent` pushed it. */
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

  /** A host is known to have a revision in force. */
  confirm(host: string, revision: number): void {
    const isNew = this.parameters.members.learnRevision(host, revision);
    if (!isNew || revision < this.#revision) return;
    this.#unsent.add(host);
    this.#changed.announce();
  }

  /** Passes acknowledgements on until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#flush();
      await this.#changed.next(1_000, signal);
      await common.sleep(BATCH_MILLISECONDS, signal);
    }
  }

  /** Who read it from the store reports to whoever pushes it later. */
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
    // The parent is gone: any neighbour is on some way to where it is awaited.
    this.#parent = this.parameters.linked()[0];
  }
}
