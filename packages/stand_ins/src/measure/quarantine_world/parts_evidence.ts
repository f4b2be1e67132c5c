import * as partProof from "@geraniumkeel/daemon/quarantine/part_proof";

/** What counts as evidence against the parts of a run at a crash. */
export enum Evidence {
  /** Every run under way. */
  EveryRun = "every run",
  /** Runs without content; those that had begun alone, if there are any. */
  RunsWithoutContent = "runs without content",
}

/** A run under way at a crash. */
export interface SuspectRun {
  request: string;
  parts: readonly string[];
  startedAt: number;
  begun: boolean;
  writing: boolean;
}

/** Requests that had begun at a crash that counts as narrow, at most. */
const MOST_BEGUN_OF_NARROW = 3;

/** The evidence of all entries together, and the parts that it proves. */
export class PartsEvidence {
  readonly held = new Set<string>();
  readonly #crashes = new Map<string, partProof.PartCrash[]>();
  #lives = 0;

  constructor(
    readonly parameters: {
      evidence: Evidence;
      threshold: partProof.PartThreshold;
      frequencyOf: (part: string) => number;
    },
  ) {}

  /** Adds a crash. */
  addCrash(endedAt: number, runs: SuspectRun[]): void {
    const life = `life-${this.#lives++}`;
    const suspects = this.#suspectsOf(runs);
    const begun = suspects.filter((run) => run.begun);
    const isNarrow = begun.length > 0 && begun.length <= MOST_BEGUN_OF_NARROW;
    const byPart = new Map<string, partProof.PartCrash>();
    for (const { request, parts, startedAt } of suspects) {
      for (const part of parts) {
        const known = byPart.get(part);
        byPart.set(part, {
          life,
          endedAt,
          isNarrow,
          startedAt: Math.max(startedAt, known?.startedAt ?? startedAt),
          requests: [...(known?.requests ?? []), request],
        });
      }
    }
    for (const [part, crash] of byPart) {
      const crashes = this.#crashes.get(part) ?? [];
      this.#crashes.set(part, [...crashes, crash]);
    }
    this.#judge();
  }

  /** A runner wrote an answer since a moment, so it stood the parts. */
  clear(parts: readonly string[], since: number): void {
    let changed = false;
    for (const part of parts) {
      const crashes = this.#crashes.get(part);
      if (!crashes) continue;
      const left = crashes.filter(({ endedAt }) => endedAt >= since);
      changed ||= left.length < crashes.length;
      this.#crashes.set(part, left);
    }
    if (changed) this.#judge();
  }

  #suspectsOf(runs: SuspectRun[]): SuspectRun[] {
    switch (this.parameters.evidence) {
      case Evidence.EveryRun:
        return runs;
      case Evidence.RunsWithoutContent: {
        const silent = runs.filter(({ writing }) => !writing);
        const begun = silent.filter((run) => run.begun);
        return begun.length > 0 ? begun : silent;
      }
    }
  }

  #judge(): void {
    const { threshold, frequencyOf } = this.parameters;
    const parts = [...this.#crashes].flatMap(([key, crashes]) =>
      crashes.length > 1 ? { key, crashes, frequency: frequencyOf(key) } : [],
    );
    const proven = partProof.provenParts(parts, this.held, threshold);
    this.held.clear();
    for (const key of proven) this.held.add(key);
  }
}
