import type * as common from "@geraniumkeel/common";
import type * as configuration from "@geraniumkeel/configuration";
import * as evacuationsInForce from "./evacuations_in_force.ts";

/**
 * The evacuations that the configuration document lists. Every decision sees a
 * new configuration at once.
 */
export class ConfiguredEvacuations {
  readonly #inForce: evacuationsInForce.EvacuationsInForce;
  /** The configuration that `#inForce` follows. */
  #applied: configuration.ConfigurationView | undefined;

  constructor(
    readonly parameters: {
      /** Configuration in force; `undefined` before the first. */
      view: () => configuration.ConfigurationView | undefined;
      logger: common.Logger;
    },
  ) {
    const { logger } = parameters;
    this.#inForce = new evacuationsInForce.EvacuationsInForce(logger);
  }

  /** Whether runners in a data centre get nothing new. */
  isEvacuated(dataCentre: string): boolean {
    return this.inForce().has(dataCentre);
  }

  /** Evacuated data centres, and since when they are at this entry. */
  inForce(): ReadonlyMap<string, common.Instant> {
    const view = this.parameters.view();
    if (view && view !== this.#applied) {
      this.#applied = view;
      const dataCentres = new Set(view.document.evacuations);
      this.#inForce.put(dataCentres, view.head.revision);
    }
    return this.#inForce.since;
  }

  /** Logs evacuated data centres that are not among `known`, once each. */
  logUnknown(known: ReadonlySet<string>): void {
    this.inForce();
    this.#inForce.logUnknown(known);
  }
}
