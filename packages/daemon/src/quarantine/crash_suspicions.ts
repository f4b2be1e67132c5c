import * as partKey from "./part_key.ts";
import * as partSighting from "./part_sighting.ts";
import type * as recentParts from "./recent_parts.ts";
import * as runnerCrash from "./runner_crash.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

/** Characters of a fingerprint that name a request among those at a crash. */
const SHORT_NAME_LENGTH = 8;

/**
 * Returns what a crash casts suspicion on: the requests that were under way, and
 * the prompt parts of those of whose answers no content had come. A runner that
 * had gone on writing an answer for a while was not crashed by its parts.
 */
export function suspicionsOf(
  { service, runs }: runnerCrash.RunnerCrash,
  recent: recentParts.PartCounts,
): suspectLedger.Suspicion[] {
  const parts = new Map<string, suspectLedger.Suspicion>();
  for (const run of runs) {
    if (!mayBeCulprit(run.progress)) continue;
    for (const part of run.promptParts) {
      const key = partKey.partKey(service, part);
      const count = recent.counts.get(part) ?? 0;
      const frequency = { count, of: recent.of };
      const sighting = { ...namesOf(run), frequency };
      const known = parts.get(key);
      if (known) addSighting(known, sighting, run.startedAt);
      else parts.set(key, partSuspicion(key, sighting, run.startedAt));
    }
  }
  return [...runs.map(requestSuspicion), ...parts.values()];
}

function mayBeCulprit(progress: runnerCrash.RunProgress): boolean {
  switch (progress) {
    case runnerCrash.RunProgress.Waiting:
    case runnerCrash.RunProgress.Begun:
    case runnerCrash.RunProgress.Unknown:
      return true;
    case runnerCrash.RunProgress.Writing:
      return false;
  }
}

function requestSuspicion({
  fingerprint,
  startedAt,
}: runnerCrash.InterruptedRun): suspectLedger.Suspicion {
  return { fingerprint, startedAt, cleared: false };
}

function partSuspicion(
  key: string,
  part: partSighting.PartSighting,
  startedAt: number,
): suspectLedger.Suspicion {
  return { fingerprint: key, startedAt, cleared: false, part };
}

function addSighting(
  suspicion: suspectLedger.Suspicion,
  sighting: partSighting.PartSighting,
  startedAt: number,
): void {
  if (!suspicion.part) return;
  suspicion.startedAt = Math.max(suspicion.startedAt, startedAt);
  suspicion.part = partSighting.joinSightings(suspicion.part, sighting);
}

function namesOf({
  fingerprint,
  progress,
}: runnerCrash.InterruptedRun): Pick<
  partSighting.PartSighting,
  "requests" | "begun"
> {
  const name = fingerprint.slice(0, SHORT_NAME_LENGTH);
  const isBegun = progress === runnerCrash.RunProgress.Begun;
  return { requests: [name], begun: isBegun ? [name] : [] };
}
