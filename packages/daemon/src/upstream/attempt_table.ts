import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as attemptRecord from "./attempt_record.ts";

/**
 * Age, by this process's clock, after which a dispatch is refused. A paused
 * entry may wake and send what it decided long ago; by then nobody may know
 * that the attempt was settled, so it must not start.
 */
export const DISPATCH_VALIDITY_MILLISECONDS = 30_000;
/**
 * Time for which attempts and tombstones are remembered, counted from their
 * issue. Longer than the validity: whatever is not remembered within this time
 * never started, and can no longer start.
 */
export const RETENTION_MILLISECONDS = 600_000;

/** Why an attempt may not start, if it may not. */
export type Admission =
  | { admitted: true }
  | {
      admitted: false;
      reason: wire.RefusalReason;
      /** Milliseconds after which there may be room; with `AtRateLimit`, `Resting`. */
      retryAfter?: number;
    };

/** All attempts this incarnation knows, and the tombstones. */
export class AttemptTable {
  readonly #records = new Map<string, attemptRecord.AttemptRecord>();
  readonly #running = new Set<attemptRecord.AttemptRecord>();
  /** Identifier to the time at which the tombstone may be dropped. */
  readonly #tombstones = new Map<string, number>();
  /** Announced when attempts start or end. */
  readonly changed = new common.ChangeNotice();
  started = 0;
  finished = 0;

  constructor(
    readonly incarnation: string,
    readonly clock: () => number = common.now,
  ) {}

  /** How many attempts run now. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Attempts that run now. */
  get running(): attemptRecord.AttemptRecord[] {
    return [...this.#running];
  }

  /** All records. */
  get records(): ReadonlyMap<string, attemptRecord.AttemptRecord> {
    return this.#records;
  }

  /** Number of tombstones held. */
  get tombstones(): number {
    return this.#tombstones.size;
  }

  /** Whether an attempt may start now. */
  admit(attempt: wire.Attempt): Admission {
    const refuse = (reason: wire.RefusalReason): Admission => ({
      admitted: false,
      reason,
    });
    if (attempt.agentIncarnation !== this.incarnation) {
      return refuse(wire.RefusalReason.OldIncarnation);
    }
    if (this.#tombstones.has(attempt.identifier)) {
      return refuse(wire.RefusalReason.Tombstoned);
    }
    if (this.#age(attempt) > DISPATCH_VALIDITY_MILLISECONDS) {
      return refuse(wire.RefusalReason.TooOld);
    }
    return { admitted: true };
  }

  /** Records an attempt before its engine is called. */
  add(record: attemptRecord.AttemptRecord): void {
    this.#records.set(record.attempt.identifier, record);
    this.#running.add(record);
    this.started++;
    this.changed.announce();
  }

  /** Notes that the task of an attempt has ended. */
  ended(record: attemptRecord.AttemptRecord): void {
    this.#running.delete(record);
    this.finished++;
    this.changed.announce();
  }

  /**
   * Settles an attempt: one that never started is refused for ever, so that
   * whoever asked may run the request elsewhere.
   */
  settle(attempt: wire.Attempt): wire.AttemptState {
    const record = this.#records.get(attempt.identifier);
    if (record) {
      if (record.end?.kind === wire.EndKind.NotStarted) {
        return wire.AttemptState.NeverStarted;
      }
      return record.end
        ? wire.AttemptState.Finished
        : wire.AttemptState.Running;
    }
    if (attempt.agentIncarnation !== this.incarnation) {
      return wire.AttemptState.Forgotten;
    }
    if (this.#age(attempt) > RETENTION_MILLISECONDS) {
      return wire.AttemptState.Forgotten;
    }
    const until = attempt.issuedAt + 2 * RETENTION_MILLISECONDS;
    this.#tombstones.set(attempt.identifier, until);
    return wire.AttemptState.NeverStarted;
  }

  /**
   * Refuses an attempt for as long as a copy of its dispatch could start. There
   * may be many in a surge, so they are not kept as long as other tombstones;
   * whoever asks later is told the same, as none of them ever started.
   */
  turnAway(attempt: wire.Attempt): void {
    const until = attempt.issuedAt + 2 * DISPATCH_VALIDITY_MILLISECONDS;
    this.#tombstones.set(attempt.identifier, until);
  }

  /** Drops what is older than the retention; returns how many. */
  sweep(): number {
    const now = this.clock();
    let dropped = 0;
    for (const [identifier, until] of this.#tombstones) {
      if (until < now && this.#tombstones.delete(identifier)) dropped++;
    }
    for (const [identifier, record] of this.#records) {
      if (record.endedAt === undefined) continue;
      const old = now - record.endedAt > 2 * RETENTION_MILLISECONDS;
      if (old && this.#records.delete(identifier)) dropped++;
    }
    return dropped;
  }

  #age(attempt: wire.Attempt): number {
    return this.clock() - attempt.issuedAt;
  }
}
