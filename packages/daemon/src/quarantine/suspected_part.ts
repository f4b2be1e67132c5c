import type * as partProof from "./part_proof.ts";
import type * as recordedCrash from "./recorded_crash.ts";

/**
 * Largest number of requests whose answers had begun, without content, at a
 * crash that counts as narrow.
 */
const MAX_BEGUN_OF_NARROW = 3;

/** Returns what is held against a part, of the crashes at which it was seen. */
export function suspectedPart(
  key: string,
  crashes: Iterable<recordedCrash.RecordedCrash>,
): partProof.SuspectedPart {
  const held = [...crashes].flatMap((crash) => partCrash(key, crash) ?? []);
  const sum = held.reduce((total, { frequency }) => total + frequency, 0);
  return {
    key,
    frequency: sum / Math.max(1, held.length),
    crashes: held.map(({ crash }) => crash),
  };
}

/** One crash that is held against a part; `undefined` if it is not. */
function partCrash(
  key: string,
  crash: recordedCrash.RecordedCrash,
): { crash: partProof.PartCrash; frequency: number } | undefined {
  const suspicion = crash.suspicions.get(key);
  if (!suspicion?.part || suspicion.cleared || crash.disproved)
    return undefined;
  const { begun, requests, frequency } = suspicion.part;
  if (crash.begun.size > 0 && begun.length === 0) return undefined;
  const { life, endedAt } = crash;
  return {
    crash: {
      life,
      startedAt: suspicion.startedAt,
      endedAt,
      requests: begun.length > 0 ? begun : requests,
      isNarrow: begun.length > 0 && crash.begun.size <= MAX_BEGUN_OF_NARROW,
    },
    frequency: frequency.of > 0 ? frequency.count / frequency.of : 1,
  };
}
