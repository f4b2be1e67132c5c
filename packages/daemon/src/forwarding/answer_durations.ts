import * as common from "@geraniumkeel/common";

/** Answers of a route that are remembered. */
const MAX_ANSWERS = 32;
/** How long an answer is remembered. */
const RETENTION_MILLISECONDS = 30_000;
/** How much longer than the longest remembered answer one may take. */
const SAFETY_FACTOR = 1.5;

interface Duration {
  milliseconds: number;
  notedAt: number;
}

/** How long requests of each route took lately, from arrival to whole answer. */
export class AnswerDurations {
  readonly #byRoute = new Map<string, Duration[]>();

  /** Notes how long a request took that was answered. */
  note(route: string, milliseconds: number): void {
    const durations = this.#byRoute.get(route) ?? [];
    if (durations.length >= MAX_ANSWERS) durations.shift();
    durations.push({ milliseconds, notedAt: common.now() });
    this.#byRoute.set(route, durations);
  }

  /**
   * Milliseconds within which a request of a route is probably answered;
   * Infinity if none was answered lately.
   */
  expected(route: string): number {
    const oldest = common.now() - RETENTION_MILLISECONDS;
    const recent = (this.#byRoute.get(route) ?? [])
      .filter(({ notedAt }) => notedAt >= oldest)
      .map(({ milliseconds }) => milliseconds);
    if (recent.length === 0) return Infinity;
    return Math.max(...recent) * SAFETY_FACTOR;
  }
}
