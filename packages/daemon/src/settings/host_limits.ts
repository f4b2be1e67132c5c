import * as zod from "zod";
import * as callerBounds from "../caller_connections/caller_bounds.ts";

const DEFAULTS = callerBounds.DEFAULT_HOST_LIMITS;

const positive = (what: string, defaultValue: number) =>
  zod
    .number({ error: `give ${what} as a number` })
    .min(1, { error: "give at least 1" })
    .default(defaultValue);

/** What the host gives the process; by default that of the smallest host. */
export const HOST_LIMITS = zod.strictObject({
  memoryMegabytes: positive("megabytes", DEFAULTS.memoryMegabytes).meta({
    description:
      "Memory of the host for this process, from which the bounds on what all callers together make it hold are worked out.",
  }),
  descriptors: positive("descriptors", DEFAULTS.descriptors).meta({
    description:
      "File descriptors of the process, from which the bounds on connections are worked out.",
  }),
});
