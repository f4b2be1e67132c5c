import * as common from "@geraniumkeel/common";
import * as platform from "@geraniumkeel/platform";

/** Row of a lease. */
interface LeaseRow {
  holder: string;
  incarnation: string;
  fencing: number;
  nonce: string;
}

/**
 * A lease in the table service. It avoids duels between holders of a duty;
 * safety never rests on it. No clocks are compared:
 * a lease lapses for others when its row has not changed for its duration by
 * their own clocks, and for its holder a good deal earlier by its own.
 */
export class Lease {
  #held: { fencing: number; revision: number; renewedAt: number } | undefined;
  /** The row as last seen of another holder, and since when. */
  #seen: { revision: number; at: number } | undefined;

  constructor(
    readonly parameters: {
      table: platform.TableService;
      key: string;
      host: string;
      incarnation: string;
      durationMilliseconds: number;
    },
  ) {}

  /** Fencing number while the lease is surely held. */
  get fencing(): number | undefined {
    const { durationMilliseconds } = this.parameters;
    if (!this.#held) return undefined;
    const age = common.now() - this.#held.renewedAt;
    return age < durationMilliseconds / 2 ? this.#held.fencing : undefined;
  }

  /** Takes or renews the lease; the fencing number if it is held. */
  async renew(): Promise<number | undefined> {
    const startedAt = common.now();
    const read = await this.parameters.table.get(this.parameters.key);
    if (read.isErr()) return this.fencing;
    const row = read.value;
    const lease = row && (JSON.parse(row.value) as LeaseRow);
    const { incarnation } = this.parameters;
    const own = lease?.incarnation === incarnation;
    if (row && !own && !this.#lapsed(row)) {
      this.#held = undefined;
      return undefined;
    }
    // A lease that lapsed in between may have had another holder's orders: a new
    // term gets a new number even for the same host.
    const keep = own && this.#held?.fencing === lease.fencing;
    const fencing = keep ? lease.fencing : (lease?.fencing ?? 0) + 1;
    const revision = await this.#write(row, fencing);
    if (revision === undefined) return this.fencing;
    this.#held = { fencing, revision, renewedAt: startedAt };
    return this.fencing;
  }

  /** Gives the lease up, so that the next holder need not wait. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (!held) return;
    const { table, key } = this.parameters;
    const row: LeaseRow = {
      holder: "",
      incarnation: "",
      fencing: held.fencing,
      nonce: common.randomIdentifier(),
    };
    await table.transact({
      conditions: [
        {
          kind: platform.ConditionKind.AtRevision,
          key,
          revision: held.revision,
        },
      ],
      writes: [
        {
          kind: platform.WriteKind.Put,
          key,
          value: JSON.stringify(row),
        },
      ],
    });
  }

  #lapsed(row: platform.Row): boolean {
    const { holder } = JSON.parse(row.value) as LeaseRow;
    if (holder === "") return true;
    const now = common.now();
    if (this.#seen?.revision !== row.revision) {
      this.#seen = { revision: row.revision, at: now };
      return false;
    }
    return now - this.#seen.at > this.parameters.durationMilliseconds;
  }

  async #write(
    row: platform.Row | undefined,
    fencing: number,
  ): Promise<number | undefined> {
    const { table, key, host, incarnation } = this.parameters;
    const nonce = common.randomIdentifier();
    const value: LeaseRow = { holder: host, incarnation, fencing, nonce };
    const outcome = await table.transact({
      conditions: [
        row
          ? {
              kind: platform.ConditionKind.AtRevision,
              key,
              revision: row.revision,
            }
          : { kind: platform.ConditionKind.Absent, key },
      ],
      writes: [
        {
          kind: platform.WriteKind.Put,
          key,
          value: JSON.stringify(value),
        },
      ],
    });
    // An unknown outcome is settled by the next renewal, which reads first.
    if (outcome.kind !== platform.OutcomeKind.Committed) return undefined;
    return outcome.revisions[key];
  }
}
