import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as evacuationsInForce from "./evacuations_in_force.ts";

/**
 * Time from the first list of a new epoch of the table for which a data centre
 * stays evacuated although its row is missing. The table was restored from a
 * copy then, and within this time the operators' rows are written again. After
 * it, the first list that is proved to be newer than this time decides.
 */
const RETAINED_MILLISECONDS = 2_000;
/** Time between checks in addition to those at each change. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;

/** What `Evacuations` needs. */
export interface EvacuationsParameters {
  /** Whether this entry trusts the epoch of the table (`EpochConfirmation`). */
  epochTrusted: () => boolean;
  /** Highest version of the list that a reachable entry reports; 0 for none. */
  newestReported: () => number;
  /**
   * Data centres with a runner or an entry; `undefined` while runners or
   * entries are not known.
   */
  dataCentres: () => ReadonlySet<string> | undefined;
  /** Called when an evacuation has ended. */
  onEnd: () => void;
  logger: common.Logger;
  metrics: common.Metrics;
}

/**
 * Which data centres are evacuated: runners there get nothing new. Every
 * decision sees a new list at once, whether the list came from the store or
 * from a peer.
 */
export class Evacuations {
  readonly list = new traffic.ProvenValue<traffic.EvacuationList>();
  readonly #inForce: evacuationsInForce.EvacuationsInForce;
  /** The list that `#inForce` follows. */
  #applied: traffic.EvacuationList | undefined;
  /** Data centres that stay evacuated although a restored table lacks their rows. */
  readonly #retained = new Set<string>();
  /** Monotonic time before which `#retained` is not cleared. */
  #retainedUntil = 0;
  /** Set once the list was known and the table's epoch trusted; never reset. */
  #known = false;

  constructor(readonly parameters: EvacuationsParameters) {
    const { logger } = parameters;
    this.#inForce = new evacuationsInForce.EvacuationsInForce(logger);
  }

  /**
   * Whether this entry knows the list. An entry that has just started may have
   * read a restored table that lacks rows, which its peers retain. Until it
   * trusts the table's epoch it needs every list that a peer reports.
   */
  get known(): boolean {
    if (this.#known) return true;
    const { newestReported, epochTrusted } = this.parameters;
    const { value, version } = this.list;
    if (!value || version < newestReported()) return false;
    this.#known = epochTrusted();
    return true;
  }

  /** Whether runners in a data centre get nothing new; all until known. */
  isEvacuated(dataCentre: string): boolean {
    if (!this.known) return true;
    this.#update();
    return this.#inForce.since.has(dataCentre);
  }

  /** Whether a data centre is evacuated whose row the restored table lacks. */
  get retaining(): boolean {
    this.#update();
    return this.#retained.size > 0;
  }

  /**
   * Whether an epoch of the table may be confirmed: the held list was read in it,
   * and no data centre is retained whose row it lacks. The configuration may be
   * read in a new epoch before the list is.
   */
  mayConfirm(epoch: number): boolean {
    const { value } = this.list;
    if (!value || traffic.epochOfEvacuationList(value) !== epoch) return false;
    return !this.retaining;
  }

  /** Evacuated data centres, and since when they are at this entry. */
  inForce(): ReadonlyMap<string, common.Instant> {
    this.#update();
    return this.#inForce.since;
  }

  /** The part of the state dump. */
  describe(): unknown {
    const { version, age } = this.list;
    const dataCentres = [...this.inForce().keys()];
    return { version, age, known: this.known, dataCentres };
  }

  /** Logs and reports changes as they come, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#update();
      const dataCentres = this.parameters.dataCentres();
      if (dataCentres) this.#inForce.logUnknown(dataCentres);
      this.parameters.metrics.gauge(
        common.Metric.EvacuatedDataCentres,
        this.#inForce.since.size,
      );
      await this.list.changes.next(CHECK_INTERVAL_MILLISECONDS, signal);
    }
  }

  #update(): void {
    const { value } = this.list;
    if (value !== this.#applied && value) this.#apply(value);
    if (this.#retained.size === 0) return;
    // Rows that were written before that time may not have been read yet, so a
    // list is needed that is proved to be newer.
    const sinceUntil = common.now() - this.#retainedUntil;
    if (sinceUntil < 0 || this.list.age > sinceUntil) return;
    this.#retained.clear();
    this.#putInForce();
  }

  #apply(list: traffic.EvacuationList): void {
    const epochBefore =
      this.#applied && traffic.epochOfEvacuationList(this.#applied);
    const now = common.now();
    if (epochBefore !== traffic.epochOfEvacuationList(list)) {
      this.#retainedUntil = now + RETAINED_MILLISECONDS;
      for (const dataCentre of this.#inForce.since.keys())
        this.#retained.add(dataCentre);
    }
    const { dataCentres, retained = [] } = list;
    if (now < this.#retainedUntil) {
      for (const dataCentre of retained) this.#retained.add(dataCentre);
    }
    for (const dataCentre of dataCentres) this.#retained.delete(dataCentre);
    this.#applied = list;
    this.#putInForce();
    if (this.#retained.size === 0 || list.retained) return;
    // Entries that start now read only the restored table.
    const told = traffic.withRetained(list, [...this.#retained]);
    this.#applied = told;
    this.list.offer(told);
  }

  /** Brings `#inForce` in line with the list and what is retained. */
  #putInForce(): void {
    const { dataCentres = [], version = 0 } = this.#applied ?? {};
    const wanted = new Set([...dataCentres, ...this.#retained]);
    if (this.#inForce.put(wanted, version)) this.parameters.onEnd();
  }
}
