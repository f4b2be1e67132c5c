/** A share that another entry has delegated. */
interface Delegation {
  allocator: string;
  since: number;
}

/**
 * Time after which a delegation counts. By then the allocator that had the
 * share before has heard of the change, or hears its owner no longer.
 */
const HOLD_OFF_MILLISECONDS = 1_000;

/**
 * Who allocates each entry's share of one runner's rate limit. Each entry
 * delegates its whole share to one allocator, so no share is used twice.
 */
export class Delegations {
  readonly #byEntry = new Map<string, Delegation>();

  /** Allocator to which an entry delegates; `undefined` if it told none. */
  allocatorOf(entry: string): string | undefined {
    return this.#byEntry.get(entry)?.allocator;
  }

  /** Notes to whom an entry delegates; returns whether that changed. */
  set(entry: string, allocator: string, now: number): boolean {
    if (this.allocatorOf(entry) === allocator) return false;
    this.#byEntry.set(entry, { allocator, since: now });
    return true;
  }

  /** Forgets the delegation of an entry that is no longer linked. */
  remove(entry: string): void {
    this.#byEntry.delete(entry);
  }

  /** Entries that have delegated to an allocator for long enough. */
  delegatorsOf(allocator: string, now: number): string[] {
    const newest = now - HOLD_OFF_MILLISECONDS;
    return [...this.#byEntry]
      .filter(([, one]) => one.allocator === allocator && one.since <= newest)
      .map(([entry]) => entry);
  }
}
