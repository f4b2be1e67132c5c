import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";

/** Time for which a departed member is remembered. */
const DEPARTED_RETENTION_MILLISECONDS = 120_000;

/** The record of a member, and when this process last changed it. */
interface StoredRecord {
  member: wire.Member;
  changedAt: number;
}

/**
 * The entries of the deployment, the members, as this process knows them by
 * gossip. Of two records of a member the one with the higher counter is newer;
 * at equal counters, the one with the worse state. Only a member itself raises
 * the counter of its record; others may only change its state for the worse at
 * the same counter. So a late message about a member never overrides a newer
 * record that the member itself has sent. The `revision` in a record is that of
 * the configuration in force at the member, and does not make a record newer.
 */
export class MemberTable {
  /** Announces that a record changed. */
  readonly changed = new common.ChangeNotice();
  readonly #records = new Map<string, StoredRecord>();
  /** Hosts whose record changed since the last call of `takeChanges`. */
  readonly #changedHosts = new Set<string>();
  #self: wire.Member;

  constructor(
    self: Omit<wire.Member, "counter" | "state" | "revision" | "weight">,
    readonly clock: () => number = common.now,
    wallClock: () => number = Date.now,
  ) {
    this.#self = {
      ...self,
      state: wire.MemberState.Alive,
      // The record of a new process must be newer than that of an earlier
      // process on the same host. A counter that starts at the wall-clock time
      // nearly always ensures this. If the clock was set back, `merge` raises
      // the counter.
      counter: wallClock(),
      revision: 0,
      weight: 1,
    };
    this.#set(this.#self);
  }

  /** This process's own record. */
  get self(): wire.Member {
    return this.#self;
  }

  /** All records, this process's included. */
  get all(): wire.Member[] {
    return [...this.#records.values()].map(({ member }) => member);
  }

  /** Members that have not departed, including this process. */
  get present(): wire.Member[] {
    return this.all.filter(
      (member) => member.state !== wire.MemberState.Departed,
    );
  }

  /** Members that accept work, including this process unless it drains. */
  get alive(): wire.Member[] {
    return this.all.filter((member) => member.state === wire.MemberState.Alive);
  }

  /** Record of one host. */
  get(host: string): wire.Member | undefined {
    return this.#records.get(host)?.member;
  }

  /**
   * A hash that is equal for tables with equal records of all present members.
   * Revisions are left out, because acknowledgements spread them separately and
   * with a short delay.
   */
  get digest(): string {
    const known = this.present
      .map(({ host, incarnation, counter, state }) =>
        [host, incarnation, counter, state].join(" "),
      )
      .sort();
    return common.hash64(known.join("\n"));
  }

  /** Changes this process's own record and raises its counter. */
  updateSelf(change: Partial<Pick<wire.Member, "state" | "weight">>): void {
    const counter = this.#self.counter + 1;
    this.#self = { ...this.#self, ...change, counter };
    this.#set(this.#self);
  }

  /**
   * Records the revision of the configuration that is in force in this process.
   * This process does not gossip the change by itself: it sends the revision
   * with the record's next other change. Acknowledgements report the revision
   * to the entries that wait for it.
   */
  noteRevision(revision: number): void {
    this.#self = { ...this.#self, revision };
    this.#records.set(this.#self.host, {
      member: this.#self,
      changedAt: this.clock(),
    });
    this.changed.announce();
  }

  /**
   * Records the revision of the configuration that a member has in force;
   * returns whether it is higher than the known one.
   */
  learnRevision(host: string, revision: number): boolean {
    const record = this.#records.get(host);
    if (!record || record.member.revision >= revision) return false;
    record.member = { ...record.member, revision };
    this.changed.announce();
    return true;
  }

  /**
   * Merges a record received from a peer; returns whether it changed the table.
   */
  merge(received: wire.Member): boolean {
    if (received.host === this.#self.host) return this.#refuteRecord(received);
    const known = this.#records.get(received.host)?.member;
    if (known && !isNewer(received, known)) return false;
    const isSameIncarnation = known?.incarnation === received.incarnation;
    const revision = isSameIncarnation
      ? Math.max(known.revision, received.revision)
      : received.revision;
    this.#set({ ...received, revision });
    return true;
  }

  /**
   * Marks a member that does not answer as suspect. The member refutes this by
   * a record with a higher counter.
   */
  suspect(host: string): void {
    const known = this.#records.get(host)?.member;
    if (known && known.state < wire.MemberState.Suspect) {
      this.#set({ ...known, state: wire.MemberState.Suspect });
    }
  }

  /**
   * Marks members as departed that have been suspect for the given duration,
   * and deletes departed members after their retention period.
   */
  expire(departedAfterMilliseconds: number): void {
    const now = this.clock();
    for (const [host, { member, changedAt }] of this.#records) {
      const age = now - changedAt;
      if (member.state === wire.MemberState.Suspect) {
        if (age < departedAfterMilliseconds) continue;
        this.#set({ ...member, state: wire.MemberState.Departed });
      } else if (member.state === wire.MemberState.Departed) {
        if (age > DEPARTED_RETENTION_MILLISECONDS) this.#records.delete(host);
      }
    }
  }

  /** Returns the records that changed since the last call. */
  takeChanges(): wire.Member[] {
    const changes = [...this.#changedHosts].flatMap(
      (host) => this.get(host) ?? [],
    );
    this.#changedHosts.clear();
    return changes;
  }

  /**
   * Makes this process's own record newer than a received record about this
   * process that has another state, counter or incarnation. To do so, raises
   * the own counter above the received one. Returns whether the own counter was
   * raised.
   */
  #refuteRecord(received: wire.Member): boolean {
    if (received.counter < this.#self.counter) return false;
    const isSame =
      received.counter === this.#self.counter &&
      received.state === this.#self.state &&
      received.incarnation === this.#self.incarnation;
    if (isSame) return false;
    this.#self = { ...this.#self, counter: received.counter + 1 };
    this.#set(this.#self);
    return true;
  }

  #set(member: wire.Member): void {
    this.#records.set(member.host, { member, changedAt: this.clock() });
    this.#changedHosts.add(member.host);
    this.changed.announce();
  }
}

function isNewer(received: wire.Member, known: wire.Member): boolean {
  if (received.counter !== known.counter)
    return received.counter > known.counter;
  return received.state > known.state;
}
