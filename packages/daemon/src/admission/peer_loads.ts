import type * as wire from "@geraniumkeel/wire";
import * as urgencyRule from "./urgency_rule.ts";

/**
 * Age from which on a report is not used, as of the last mesh heartbeat from
 * which on an entry is unreachable.
 */
const MAX_REPORT_AGE_MILLISECONDS = 1_000;
/**
 * Time after the start of this process in which entries that have not reported
 * do not count as silent: links to all of them are open by then.
 */
const START_MILLISECONDS = 2_000;
/**
 * Fraction of the entries that report from which on the others count as stopped
 * and not as cut off. A data centre with a third of the entries may fail without
 * reducing the capacity that the rest uses.
 */
const MIN_REPORTING_FRACTION = 0.5;

/**
 * Time for which the sums over all reports are kept if no report arrives. Adding
 * up fifty reports for each request takes more time than the decision.
 */
const SUM_MILLISECONDS = 25;

interface ReceivedReport {
  services: ReadonlyMap<string, wire.ServiceLoadReport>;
  receivedAt: number;
}

/** What the other entries report about one service. */
export interface PeerDemand {
  demand: ReadonlyMap<number, urgencyRule.UrgencyDemand>;
  /** Means over the reports that contain a measurement. */
  answerMilliseconds: number | undefined;
  firstEventMilliseconds: number | undefined;
}

/** The load reports of the other entries, with their ages. */
export class PeerLoads {
  readonly #reports = new Map<string, ReceivedReport>();
  /** Sums by service, until the next report or `#sumsUntil`. */
  readonly #sums = new Map<string, PeerDemand>();
  #sumsUntil = -Infinity;
  readonly #startedAt: number;

  constructor(
    readonly parameters: {
      clock: () => number;
      /** Number of known entries, including this one. */
      entryCount: () => number;
    },
  ) {
    this.#startedAt = parameters.clock();
  }

  /** Replaces the report of an entry. */
  receive(report: wire.MeshLoad, host: string): void {
    const receivedAt = this.parameters.clock();
    const services = new Map(
      report.services.map((item) => [item.service, item]),
    );
    this.#reports.set(host, { services, receivedAt });
    this.#sumsUntil = -Infinity;
  }

  /** Age of the oldest report in use in milliseconds; -1 if none is in use. */
  get oldestAge(): number {
    const now = this.parameters.clock();
    const ages = this.#current().map(({ receivedAt }) => now - receivedAt);
    return ages.length > 0 ? Math.max(...ages) : -1;
  }

  /** Number of entries whose reports are in use. */
  get reporting(): number {
    return this.#current().length;
  }

  /**
   * Part of the capacity that this entry and those that report may use. It is
   * less than 1 only if this entry hears less than half of the entries: these
   * may then be serving requests that this entry does not know of.
   */
  get knownShare(): number {
    const { clock, entryCount } = this.parameters;
    if (clock() - this.#startedAt < START_MILLISECONDS) return 1;
    const known = this.reporting + 1;
    const fraction = known / Math.max(known, entryCount());
    return fraction >= MIN_REPORTING_FRACTION ? 1 : fraction;
  }

  /** Sums up the reports about a service. */
  demandFor(service: string): PeerDemand {
    const now = this.parameters.clock();
    if (now >= this.#sumsUntil) {
      this.#sums.clear();
      this.#sumsUntil = now + SUM_MILLISECONDS;
    }
    const existing = this.#sums.get(service);
    if (existing) return existing;
    const sum = this.#sumUp(service);
    this.#sums.set(service, sum);
    return sum;
  }

  #sumUp(service: string): PeerDemand {
    const demand = new Map<number, urgencyRule.UrgencyDemand>();
    const answers: number[] = [];
    const firstEvents: number[] = [];
    for (const { services } of this.#current()) {
      const report = services.get(service);
      if (!report) continue;
      const { answerMilliseconds, firstEventMilliseconds } = report;
      if (answerMilliseconds > 0) answers.push(answerMilliseconds);
      if (firstEventMilliseconds >= 0) firstEvents.push(firstEventMilliseconds);
      for (const { urgency, running, waiting, ...rest } of report.urgencies) {
        const arrivalsPerMillisecond = rest.arrivalsPerSecond / 1_000;
        const added = { running, waiting, arrivalsPerMillisecond };
        urgencyRule.addDemand(demand, urgency, added);
      }
    }
    return {
      demand,
      answerMilliseconds: meanOf(answers),
      firstEventMilliseconds: meanOf(firstEvents),
    };
  }

  /** What accounts ask for in one urgency, in requests per millisecond. */
  accountsFor(service: string, urgency: number): Map<string, number> {
    const demand = new Map<string, number>();
    for (const { services } of this.#current()) {
      for (const item of services.get(service)?.accounts ?? []) {
        if (item.urgency !== urgency) continue;
        const sum = demand.get(item.account) ?? 0;
        demand.set(item.account, sum + item.arrivalsPerSecond / 1_000);
      }
    }
    return demand;
  }

  /** The reports' part of the state dump: age of each report by entry. */
  describe(): unknown {
    const now = this.parameters.clock();
    return Object.fromEntries(
      [...this.#reports].map(([host, { receivedAt }]) => [
        host,
        Math.round(now - receivedAt),
      ]),
    );
  }

  #current(): ReceivedReport[] {
    const now = this.parameters.clock();
    const current: ReceivedReport[] = [];
    for (const [host, report] of this.#reports) {
      if (now - report.receivedAt < MAX_REPORT_AGE_MILLISECONDS)
        current.push(report);
      else this.#reports.delete(host);
    }
    return current;
  }
}

function meanOf(values: number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
