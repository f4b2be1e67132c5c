import * as hdr from "hdr-histogram-js";
import * as caller from "./caller.ts";

/** Counts and times over many requests. */
export class Tally {
  readonly outcomes = new Map<caller.CallOutcome, number>();
  readonly details = new Map<string, number>();
  readonly firstToken = hdr.build();
  readonly betweenTokens = hdr.build();
  sent = 0;
  tokens = 0;
  comeBacks = 0;

  /** Adds one report. */
  add(report: caller.CallReport): void {
    this.sent++;
    this.tokens += report.tokens;
    this.comeBacks += report.attempts - 1;
    const count = this.outcomes.get(report.outcome) ?? 0;
    this.outcomes.set(report.outcome, count + 1);
    if (report.outcome !== caller.CallOutcome.Whole) {
      const detail = `${report.outcome}: ${report.detail}`;
      this.details.set(detail, (this.details.get(detail) ?? 0) + 1);
      return;
    }
    if (report.tokens === 0) return;
    // Histograms hold whole numbers: microseconds.
    this.firstToken.recordValue(report.firstTokenMilliseconds * 1_000);
    for (const interval of report.intervals) {
      this.betweenTokens.recordValue(interval * 1_000);
    }
  }

  /** Requests with an outcome. */
  count(outcome: caller.CallOutcome): number {
    return this.outcomes.get(outcome) ?? 0;
  }
}

/** A percentile in milliseconds. */
export function percentile(histogram: hdr.Histogram, share: number): number {
  return histogram.getValueAtPercentile(share) / 1_000;
}
