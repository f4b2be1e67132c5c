import type * as runnerEntry from "./runner_entry.ts";

/** A listed runner for tests, as it is unless a test says otherwise. */
export function createRunner(
  change: Partial<runnerEntry.RunnerEntry> = {},
): runnerEntry.RunnerEntry {
  return {
    identifier: "i-1",
    bornAt: 1_000,
    service: "s",
    version: "1",
    address: "127.0.0.1",
    port: 80,
    dataCentre: "d",
    slots: 8,
    leaving: false,
    warmingUp: false,
    ...change,
  };
}
