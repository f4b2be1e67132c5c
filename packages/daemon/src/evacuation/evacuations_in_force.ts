import * as common from "@geraniumkeel/common";

/** The evacuations in force at an entry; logs their starts and ends. */
export class EvacuationsInForce {
  /** Evacuated data centres, and since when they are at this entry. */
  readonly #since = new Map<string, common.Instant>();
  /** Evacuated data centres that were logged as unknown. */
  readonly #loggedUnknown = new Set<string>();

  constructor(readonly logger: common.Logger) {}

  /** Evacuated data centres, and since when they are at this entry. */
  get since(): ReadonlyMap<string, common.Instant> {
    return this.#since;
  }

  /**
   * Puts exactly these evacuations in force, as a version of their list says.
   * Returns whether one has ended.
   */
  put(dataCentres: ReadonlySet<string>, version: number): boolean {
    for (const dataCentre of dataCentres) {
      if (this.#since.has(dataCentre)) continue;
      this.#since.set(dataCentre, common.instant());
      const code = common.EventCode.EvacuationStarted;
      this.logger.event(code, { dataCentre, version });
    }
    const ended = [...this.#since.keys()].filter(
      (name) => !dataCentres.has(name),
    );
    for (const dataCentre of ended) {
      this.#since.delete(dataCentre);
      this.#loggedUnknown.delete(dataCentre);
      const code = common.EventCode.EvacuationEnded;
      this.logger.event(code, { dataCentre, version });
    }
    return ended.length > 0;
  }

  /** Logs evacuated data centres that nothing is in, once each. */
  logUnknown(known: ReadonlySet<string>): void {
    for (const dataCentre of this.#since.keys()) {
      if (known.has(dataCentre) || this.#loggedUnknown.has(dataCentre))
        continue;
      this.#loggedUnknown.add(dataCentre);
      const code = common.EventCode.EvacuationUnknown;
      this.logger.event(code, { dataCentre });
    }
  }
}
