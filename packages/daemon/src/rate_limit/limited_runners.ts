import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as limitedRunner from "./limited_runner.ts";
import * as rateLimitFact from "./rate_limit_fact.ts";

/** How long the limit of a runner that is no longer listed is remembered. */
const RETENTION_MILLISECONDS = 60_000;
/**
 * How long a runner that named no limit is remembered after its warm-up. Another
 * entry may hear of the end later, and still report to whom it delegates.
 */
const WARM_RETENTION_MILLISECONDS = 10_000;

/** A fact about a runner, with the names of the runner. */
export interface NamedFact {
  incarnation: string;
  runner: string;
  service: string;
  fact: rateLimitFact.RateLimitFact;
}

/** What the registry of limited runners needs. */
export interface LimitedRunnersParameters {
  instant: () => common.Instant;
  /**
   * Requests a second to a runner that warms up, by service: 0 for no bound,
   * `UNREADABLE_RATE` if the configured value is no rate.
   */
  warmUpRateOf: (service: string) => number;
  logger: common.Logger;
}

/**
 * The incarnations of runners that named a limit, or that warm up, with what is
 * known of each.
 */
export class LimitedRunners {
  readonly #runners = new Map<string, limitedRunner.LimitedRunner>();
  /** Incarnations whose limit the other entries are to be told. */
  readonly unreported = new Set<string>();
  /** Incarnations that named a value that cannot be read; logged once each. */
  readonly unreadable = new Set<string>();

  /** Services whose configured warm-up rate cannot be read; logged once each. */
  readonly #unreadableRates = new Set<string>();

  constructor(readonly parameters: LimitedRunnersParameters) {}

  /** Whether an incarnation is known. */
  has(incarnation: string): boolean {
    return this.#runners.has(incarnation);
  }

  /** A known incarnation. */
  get(incarnation: string): limitedRunner.LimitedRunner | undefined {
    return this.#runners.get(incarnation);
  }

  /** All known incarnations, limited now or not. */
  all(): limitedRunner.LimitedRunner[] {
    return [...this.#runners.values()];
  }

  /** Incarnations whose limit is in force. */
  limited(): limitedRunner.LimitedRunner[] {
    return this.all().filter(({ isLimited }) => isLimited);
  }

  /** A runner's incarnation if its limit is in force. */
  limitedOf(
    runner: traffic.RunnerEntry,
  ): limitedRunner.LimitedRunner | undefined {
    if (this.#runners.size === 0) return undefined;
    const limited = this.#runners.get(traffic.incarnationOf(runner));
    return limited?.isLimited ? limited : undefined;
  }

  /** Applies a fact about a runner; logs and reports it if the limit changes. */
  apply(
    named: NamedFact,
    source: { request: string } | { from: string },
  ): limitedRunner.LimitedRunner {
    const { incarnation, runner, service, fact } = named;
    const known = this.#runners.get(incarnation);
    const before = known?.fact.perSecond;
    const limited = known ?? this.#create(named);
    const isReplaced = known
      ? known.apply(fact, this.parameters.instant())
      : true;
    const { perSecond } = limited.fact;
    if (!isReplaced || before === perSecond) return limited;
    limited.nextAskAt = -Infinity;
    this.unreported.add(incarnation);
    this.parameters.logger.event(common.EventCode.RunnerRateLimit, {
      runner,
      service,
      perSecond,
      before,
      ...source,
    });
    return limited;
  }

  /**
   * Applies the list of runners: which of them warm up, and that limits of
   * runners that are gone end. Returns whether a warm-up began.
   */
  retain(list: traffic.RunnerList): boolean {
    const now = this.#now();
    const warmingUp = new Set<string>();
    for (const runner of list.runners) {
      const incarnation = traffic.incarnationOf(runner);
      if (runner.warmingUp) warmingUp.add(incarnation);
      const known = this.#runners.get(incarnation);
      if (known) known.listedAt = now;
      else if (runner.warmingUp) {
        const { identifier, service } = runner;
        const fact = rateLimitFact.NO_STATEMENT;
        this.#create({ incarnation, runner: identifier, service, fact });
      }
    }
    for (const [incarnation, limited] of this.#runners) {
      limited.isListedAsWarmingUp = warmingUp.has(incarnation);
      if (now - limited.listedAt <= RETENTION_MILLISECONDS) continue;
      this.#runners.delete(incarnation);
      this.unreadable.delete(incarnation);
    }
    return this.noteWarmUps();
  }

  /**
   * Logs warm-ups that began or ended, by the list of runners or by the rate of
   * their service, and forgets runners that are warm and named no limit. Returns
   * whether a warm-up began.
   */
  noteWarmUps(): boolean {
    const now = this.#now();
    let began = false;
    for (const [incarnation, limited] of this.#runners) {
      if (limited.isListedAsWarmingUp) {
        limited.warmUpToldAt = now;
        this.#checkRate(limited.service);
      } else if (
        limited.fact === rateLimitFact.NO_STATEMENT &&
        now - limited.warmUpToldAt > WARM_RETENTION_MILLISECONDS
      ) {
        this.#runners.delete(incarnation);
      }
      const change = limited.noteWarmUp(now);
      if (change === undefined) continue;
      const { runner, service, perSecond } = limited;
      const { logger } = this.parameters;
      switch (change.kind) {
        case "started":
          began = true;
          this.unreported.add(incarnation);
          logger.event(common.EventCode.RunnerWarmUpStarted, {
            runner,
            service,
            perSecond,
          });
          break;
        case "ended": {
          const milliseconds = Math.round(change.milliseconds);
          const facts = { runner, service, milliseconds };
          logger.event(common.EventCode.RunnerWarmUpEnded, facts);
        }
      }
    }
    return began;
  }

  #checkRate(service: string): void {
    const rate = this.parameters.warmUpRateOf(service);
    if (rate !== traffic.UNREADABLE_RATE) {
      this.#unreadableRates.delete(service);
      return;
    }
    if (this.#unreadableRates.has(service)) return;
    this.#unreadableRates.add(service);
    const code = common.EventCode.WarmUpRateUnreadable;
    this.parameters.logger.event(code, { service });
  }

  #create(named: NamedFact): limitedRunner.LimitedRunner {
    const { incarnation } = named;
    const created = new limitedRunner.LimitedRunner({
      ...named,
      clock: () => this.#now(),
      warmUpRate: () => this.parameters.warmUpRateOf(named.service),
    });
    this.#runners.set(incarnation, created);
    return created;
  }

  #now(): number {
    return this.parameters.instant().monotonic;
  }
}
