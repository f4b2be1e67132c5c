import * as common from "@geraniumkeel/common";

/** Pace of an engine that reports none. */
const USUAL_PACE = 1;
/**
 * Upper bound of a reported pace. Much larger values, such as 1e308, would make
 * the planner's loads infinite, and no map could be planned.
 */
const MAX_PACE = 100;
/** Characters of an unreadable pace that are logged. */
const MAX_LOGGED_LENGTH = 100;

/**
 * Reads the pace in an engine's report. One that cannot be read counts as 1. It
 * is logged once for each engine: a report is read up to 25 times a second, and
 * several clients may read the reports of one engine.
 */
export class PaceReader {
  readonly #logged = new Set<string>();

  constructor(readonly logger: common.Logger) {}

  /** Returns the pace in a field of the report of the engine at `peer`. */
  read(field: unknown, peer: string): number {
    if (field === undefined || field === null) return USUAL_PACE;
    const isReadable =
      typeof field === "number" && Number.isFinite(field) && field >= 0;
    if (isReadable) return Math.min(field, MAX_PACE);
    if (this.#logged.has(peer)) return USUAL_PACE;
    this.#logged.add(peer);
    const pace = JSON.stringify(field).slice(0, MAX_LOGGED_LENGTH);
    this.logger.event(common.EventCode.PaceUnreadable, { peer, pace });
    return USUAL_PACE;
  }
}
