import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";

/** Time for which a member that is gone is remembered. */
const DEPARTED_RETENTION_MILLISECONDS = 120_000;

/** A member and when this process last changed its record. */
interface StoredRecord {
  member: wire.Member;
  changedAt: number;
}

/**
 * The entries as known here. Only a member itself raises its counter; others
 * may only worsen its state at the same counter. So a late rumour never
 * overrides what the member said of itself since.
 */
export class MemberTable {
  readonly changed = new common.ChangeNotice();
  readonly #records = new Map<string, StoredRecord>();
  /** Hosts whose record changed since `takeChanges`. */
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
      // A replacement at the same name must outrank its predecessor. Wall-clock
      // time does so nearly always; where it went back, `merge` raises it.
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

  /** Members that are not gone, this process included. */
  get present(): wire.Member[] {
    return this.all.filter((one) => one.state !== wire.MemberState.Gone);
  }

  /** Members that take work, this process included unless it drains. */
  get alive(): wire.Member[] {
    return this.all.filter((one) => one.state === wire.MemberState.Alive);
  }

  /** Record of one host. */
  get(host: string): wire.Member | undefined {
    return this.#records.get(host)?.member;
  }

  /**
   * The same for tables that know the same of all present members. Revisions
   * are left out: they spread by acknowledgements and lag behind for a moment.
   */
  get digest(): string {
    const known = this.present
      .map(({ host, incarnation, counter, state }) =>
        [host, incarnation, counter, state].join(" "),
      )
      .sort();
    return common.hash64(known.join("\n"));
  }

  /** Changes what this process says of itself. */
  updateSelf(change: Partial<Pick<wire.Member, "state" | "weight">>): void {
    const counter = this.#self.counter + 1;
    this.#self = { ...this.#self, ...change, counter };
    this.#set(this.#self);
  }

  /**
   * Notes the revision in force here. It goes out with the next record and not
   * in one of its own: acknowledgements tell those who wait for it.
   */
  noteRevision(revision: number): void {
    this.#self = { ...this.#self, revision };
    this.#records.set(this.#self.host, {
      member: this.#self,
      changedAt: this.clock(),
    });
    this.changed.announce();
  }

  /** Notes a revision that a member has; returns whether it was news. */
  learnRevision(host: string, revision: number): boolean {
    const entry = this.#records.get(host);
    if (!entry || entry.member.revision >= revision) return false;
    entry.member = { ...entry.member, revision };
    this.changed.announce();
    return true;
  }

  /** Takes in a record heard from a peer; returns whether it was news. */
  merge(received: wire.Member): boolean {
    if (received.host === this.#self.host) return this.#refuteRecord(received);
    const known = this.#records.get(received.host)?.member;
    if (known && !isNewer(received, known)) return false;
    const same = known?.incarnation === received.incarnation;
    const revision = same
      ? Math.max(known.revision, received.revision)
      : received.revision;
    this.#set({ ...received, revision });
    return true;
  }

  /** Notes that a member does not answer; it may refute. */
  suspect(host: string): void {
    const known = this.#records.get(host)?.member;
    if (known && known.state < wire.MemberState.Suspect) {
      this.#set({ ...known, state: wire.MemberState.Suspect });
    }
  }

  /** Turns suspicions that nobody refuted into departures. */
  expire(departedAfterMilliseconds: number): void {
    const now = this.clock();
    for (const [host, { member, changedAt }] of this.#records) {
      const age = now - changedAt;
      if (member.state === wire.MemberState.Suspect) {
        if (age < departedAfterMilliseconds) continue;
        this.#set({ ...member, state: wire.MemberState.Gone });
      } else if (member.state === wire.MemberState.Gone) {
        if (age > DEPARTED_RETENTION_MILLISECONDS) this.#records.delete(host);
      }
    }
  }

  /** Records changed since the last call. */
  takeChanges(): wire.Member[] {
    const changes = [...this.#changedHosts].flatMap(
      (host) => this.get(host) ?? [],
    );
    this.#changedHosts.clear();
    return changes;
  }

  /** A rumour about this process itself is answered by a higher counter. */
  #refuteRecord(received: wire.Member): boolean {
    if (received.counter < this.#self.counter) return false;
    const same =
      received.counter === this.#self.counter &&
      received.state === this.#self.state &&
      received.incarnation === this.#self.incarnation;
    if (same) return false;
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
