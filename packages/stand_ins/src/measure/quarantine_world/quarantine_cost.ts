import * as common from "@geraniumkeel/common";
import * as runnerCrash from "@geraniumkeel/daemon/quarantine/runner_crash";
import * as fingerprint from "@geraniumkeel/daemon/quarantine/fingerprint";
import * as quarantine from "@geraniumkeel/daemon/quarantine/quarantine";
import * as wire from "@geraniumkeel/wire";
import * as statistics from "../statistics.ts";
import * as usedHeap from "../used_heap.ts";

const REQUESTS = 200_000;
const HASHES = 20_000;
const BODY_BYTES = [4_096, 65_536];
/** Parts of a prompt, as many as an ordinary request has and as may be. */
const PARTS = [4, 100];
const SUSPECTS_OF_AN_END = 8;
const ENDS = 2_500;
const MICROSECONDS = 1_000;

/** An entry's quarantine, and what it tells others. */
function createQuarantine(): {
  entry: quarantine.Quarantine;
  told: wire.Suspicions[];
} {
  const told: wire.Suspicions[] = [];
  const entry = new quarantine.Quarantine({
    host: "entry-1",
    entries: () => ["entry-1"],
    versionsOf: () => new Set(["1"]),
    send: (message) => told.push(message),
    relays: false,
    onReportedCrash: () => {},
    rows: { store: () => {}, remove: () => {} },
    logger: { event: () => {} },
    metrics: common.discardMetrics(),
  });
  return { entry, told };
}

function endOf(
  number: number,
  fingerprints: string[],
): runnerCrash.RunnerCrash {
  const endedAt = common.now();
  return {
    life: `runner-${number} 1700000000000 10.0.0.1:8000`,
    runner: `runner-${number}`,
    service: "model",
    version: "1",
    endedAt,
    evidence: runnerCrash.CrashEvidence.Refused,
    runs: fingerprints.map((one) => ({
      request: one,
      fingerprint: one,
      startedAt: endedAt - 100,
      progress: runnerCrash.RunProgress.Waiting,
      promptParts: [],
    })),
  };
}

function nameOf(text: string): string {
  return fingerprint.fingerprintOf(identityOf(Buffer.from(text)));
}

function identityOf(body: Buffer): fingerprint.RequestIdentity {
  return { account: "a", method: "POST", host: "h", target: "/a/b", body };
}

/** Microseconds of one of many actions. */
function timeOf(count: number, action: (number: number) => void): number {
  const startedAt = common.now();
  for (let number = 0; number < count; number++) action(number);
  const each = ((common.now() - startedAt) * MICROSECONDS) / count;
  return statistics.round(each);
}

/** What the quarantine takes of an entry's time, memory and links. */
export function measureCost(): object {
  const body = Buffer.alloc(BODY_BYTES[0], "x");
  const pass = (entry: quarantine.Quarantine, parts: string[]) => () => {
    const name = new fingerprint.LazyFingerprint(identityOf(body));
    const request = {
      service: "model",
      get fingerprint() {
        return name.value;
      },
      promptParts: parts,
      stop: () => {},
    };
    const unwatch = entry.watch(request);
    entry.admit(request);
    entry.answered(request, "1");
    entry.wrote(request, "1", 0);
    unwatch();
  };
  const calm = createQuarantine();
  const holding = createQuarantine();
  for (const number of [1, 2, 3]) {
    holding.entry.recordCrash(endOf(number, [nameOf("held")]));
  }
  const requestMicroseconds = {
    calm: timeOf(REQUESTS, pass(calm.entry, [])),
    whileOneIsHeld: timeOf(HASHES, pass(holding.entry, [])),
    withParts: PARTS.map((count) => ({
      parts: count,
      calm: timeOf(REQUESTS, pass(calm.entry, partsOf(count))),
      whileOneIsHeld: timeOf(HASHES, pass(holding.entry, partsOf(count))),
    })),
  };
  const fingerprintMicroseconds = BODY_BYTES.map((bytes) => ({
    bytes,
    each: timeOf(HASHES, () =>
      fingerprint.fingerprintOf(identityOf(Buffer.alloc(bytes))),
    ),
  }));
  return {
    requestMicroseconds,
    fingerprintMicroseconds,
    ...measureLedger(),
    partBytes: measurePartBytes(),
  };
}

function partsOf(count: number): string[] {
  return Array.from({ length: count }, (_, part) => `part-${part}`);
}

/** Bytes of a remembered suspicion of a part, with the request that carried it. */
function measurePartBytes(): number {
  const { entry, told } = createQuarantine();
  entry.recordCrash(endOf(0, ["f"]));
  const before = usedHeap.usedHeap();
  for (let number = 1; number <= ENDS; number++) {
    const suspicions = partsOf(SUSPECTS_OF_AN_END).map((part) => {
      const request = nameOf(`${number} ${part}`).slice(0, 8);
      return {
        fingerprint: `part:model:${number}-${part}`,
        startedAge: 100,
        cleared: false,
        part: {
          requests: [request],
          begun: [request],
          frequency: { count: 1, of: 64 },
        },
      };
    });
    const ends = [{ ...told[0].ends[0], life: `runner-${number}`, suspicions }];
    entry.receive({ ...told[0], ends }, "entry-2");
  }
  const bytes = usedHeap.usedHeap() - before;
  return Math.round(bytes / (ENDS * SUSPECTS_OF_AN_END));
}

/** Memory and bytes when each request of a long time is under suspicion. */
function measureLedger(): object {
  const { entry, told } = createQuarantine();
  const names = Array.from({ length: SUSPECTS_OF_AN_END }, (_, one) =>
    nameOf(`first ${one}`),
  );
  entry.recordCrash(endOf(0, names));
  const endBytes = wire.encode(told[0]).byteLength;
  const before = usedHeap.usedHeap();
  // Told by another entry: what one entry tells in a second is bounded.
  for (let number = 1; number <= ENDS; number++) {
    const ends = [
      {
        ...told[0].ends[0],
        life: `runner-${number}`,
        suspicions: Array.from({ length: SUSPECTS_OF_AN_END }, (_, one) => ({
          fingerprint: nameOf(`${number} ${one}`),
          startedAge: 100,
          cleared: false,
        })),
      },
    ];
    entry.receive({ ...told[0], ends }, "entry-2");
  }
  const suspicions = ENDS * SUSPECTS_OF_AN_END;
  const bytes = usedHeap.usedHeap() - before;
  const toNewEntry = entry.initialMessage();
  return {
    endBytes,
    suspicionBytes: Math.round(bytes / suspicions),
    suspicions,
    megabytes: statistics.round(bytes / 1e6),
    toNewEntryBytes: toNewEntry ? wire.encode(toNewEntry).byteLength : 0,
  };
}
