import * as common from "@geraniumkeel/common";
import * as quarantine from "./quarantine.ts";

/**
 * Creates the quarantine of an entry that has no other entries, unless `change`
 * says otherwise.
 */
export function createQuarantine(
  change: Partial<quarantine.QuarantineParameters> = {},
): quarantine.Quarantine {
  return new quarantine.Quarantine({
    host: "entry-1",
    entries: () => ["entry-1"],
    versionsOf: () => new Set(["1"]),
    send: () => {},
    relays: false,
    onReportedCrash: () => {},
    rows: { store: () => {}, remove: () => {} },
    logger: new common.RecordingLogger(),
    metrics: common.discardMetrics(),
    ...change,
  });
}
