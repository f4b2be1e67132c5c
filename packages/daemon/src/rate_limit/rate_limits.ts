import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as openQuestions from "../dispatch/open_questions.ts";
import * as entryCensus from "./entry_census.ts";
import * as limitedRunner from "./limited_runner.ts";
import type * as rateLimitFact from "./rate_limit_fact.ts";
import type * as rateLimitHeader from "./rate_limit_header.ts";
import * as rateLimitPermit from "./rate_limit_permit.ts";
import * as rateLimitReport from "./rate_limit_report.ts";
import type * as requestPacer from "./request_pacer.ts";

/** Longest wait for the answer of another entry that allocates a limit. */
const ASK_TIMEOUT_MILLISECONDS = 300;
/** Shortest time between two questions for a runner whose limit is used up. */
const MIN_ASK_INTERVAL_MILLISECONDS = 20;
/** Time between two reports of a limit that does not change. */
const REPORT_INTERVAL_MILLISECONDS = 3_000;
/** Time between two counts of the entries while no limit is in force. */
const IDLE_CENSUS_MILLISECONDS = 1_000;
/** How long the limit of a runner that is no longer listed is remembered. */
const RETENTION_MILLISECONDS = 60_000;

/** What an answer of a runner says about its request rate limit. */
export interface RateLimitStatement {
  runner: traffic.RunnerEntry;
  /** Identifier of the answered request, for the log. */
  request: string;
  reading: rateLimitHeader.RateLimitReading;
  /** Whether the answer is certainly the runner's own. */
  signed: boolean;
  /** When the request was sent. */
  sentAt: common.Instant;
}

/** Whether a request may be sent to a runner. */
export type RateLimitAdmission =
  | { kind: "granted"; permit: rateLimitPermit.RateLimitPermit }
  /** Asking again makes sense only after this wait. */
  | { kind: "denied"; waitMilliseconds: number };

/** What decided about a request at a limited runner, for the log. */
export interface RateLimitTrace {
  runner: string;
  perSecond: number;
  /** Part of the limit that this entry allocates, from 0 to 1. */
  share: number;
  allocator: string;
  /** Milliseconds since the runner's statement arrived. */
  age: number;
  /** Milliseconds that the request waited, or would have had to wait. */
  wait: number;
}

/** What the rate limits need of their entry. */
export interface RateLimitsParameters {
  /** Host of this entry. */
  host: string;
  /** The other entries that this one knows. */
  entries: () => entryCensus.SeenEntry[];
  /** Whether the other entries are known, so that shares can be counted. */
  entriesKnown: () => boolean;
  storeReachable: () => boolean;
  /** Whether this entry leaves, and so allocates nothing more. */
  leaving: () => boolean;
  /** Sends a message to one entry; returns false without a link to it. */
  send: (host: string, message: wire.Message) => boolean;
  /** Sends a message to all linked entries. */
  broadcast: (message: wire.Message) => void;
  logger: common.Logger;
  metrics: common.Metrics;
  /** This moment; by the clocks of the process if it is left out. */
  instant?: () => common.Instant;
}

/**
 * Enforces the request rate limits that runners name in their answers: the
 * requests a second that a runner takes from all entries together.
 *
 * Every entry has an equal share of each limit and delegates it to the entry
 * that all of them prefer for that runner, the allocator. A request for a
 * limited runner needs a permit of the allocator, so one busy entry can use the
 * whole limit, and however many entries there are, they send no more together.
 * An entry that hears no other keeps its own share, if that is large enough.
 */
export class RateLimits {
  readonly #runners = new Map<string, limitedRunner.LimitedRunner>();
  readonly #census = new entryCensus.EntryCensus();
  readonly #questions = new openQuestions.OpenQuestions();
  /** Incarnations whose limit the other entries are to be told. */
  readonly #unreported = new Set<string>();
  /** Incarnations that named a value that cannot be read; logged once each. */
  readonly #unreadable = new Set<string>();
  #censusAt = -Infinity;
  #reportedAt = -Infinity;

  constructor(readonly parameters: RateLimitsParameters) {}

  /** Notes what an answer says. */
  note(statement: RateLimitStatement): void {
    const { runner, request, reading, signed, sentAt } = statement;
    const incarnation = traffic.incarnationOf(runner);
    if (reading.kind === "unreadable") {
      return this.#logUnreadable(incarnation, statement, reading.text);
    }
    // A broken answer without the header does not show that a limit is over.
    if (reading.kind === "absent" && !signed) return;
    if (reading.kind === "absent" && !this.#runners.has(incarnation)) return;
    const perSecond = reading.kind === "named" ? reading.perSecond : undefined;
    const fact = { perSecond, sentAt, receivedAt: this.#instant() };
    const { identifier, service } = runner;
    const named = { incarnation, runner: identifier, service, fact };
    this.#apply(named, { request });
  }

  /**
   * Milliseconds until asking for a permit for a runner makes sense; 0 if the
   * runner has no limit or may have room within it.
   */
  waitOf(runner: traffic.RunnerEntry): number {
    const limited = this.#limitedOf(runner);
    if (!limited) return 0;
    return Math.max(0, limited.nextAskAt - this.#now());
  }

  /**
   * Asks for the permit that each request to a runner needs. For a runner
   * without a limit it is there at once, without a turn of the event loop.
   */
  admit(
    runner: traffic.RunnerEntry,
    maxDelayMilliseconds: number,
  ): RateLimitAdmission | Promise<RateLimitAdmission> {
    const limited = this.#limitedOf(runner);
    if (limited) return this.#admitLimited(limited, maxDelayMilliseconds);
    const incarnation = traffic.incarnationOf(runner);
    const { RateLimitPermit } = rateLimitPermit;
    return {
      kind: "granted",
      permit: new RateLimitPermit(incarnation, undefined),
    };
  }

  /** What a decision about a runner was based on; `undefined` without a limit. */
  trace(runner: traffic.RunnerEntry, wait: number): RateLimitTrace | undefined {
    const limited = this.#limitedOf(runner);
    if (!limited) return undefined;
    return {
      runner: limited.runner,
      perSecond: limited.perSecond,
      share: this.#shareOf(limited),
      allocator: this.#allocatorOf(limited),
      age: Math.round(this.#ageOf(limited.fact.receivedAt)),
      wait: Math.round(wait),
    };
  }

  /**
   * Time after which the next caller that is refused for the limit of a runner
   * should retry. Callers are spaced by the limit, so that they do not return
   * together and are refused again.
   */
  nextRetryDelay(
    runner: traffic.RunnerEntry,
    waitMilliseconds: number,
  ): number {
    const limited = this.#limitedOf(runner);
    if (!limited) return waitMilliseconds;
    return limited.retryPacing.nextDelayMilliseconds({
      queueMilliseconds: waitMilliseconds,
      requestsPerMillisecond: limited.perSecond / 1_000,
    });
  }

  /** Handles a message of another entry. */
  receive(message: wire.Message, host: string): void {
    switch (message.kind) {
      case wire.MessageKind.RateLimitReports:
        return this.#receiveReports(message, host);
      case wire.MessageKind.RateLimitRequest:
        return this.#answer(message, host);
      case wire.MessageKind.RateLimitAnswer:
        return this.#questions.answer(message.question, message);
      default:
        return;
    }
  }

  /** The message for an entry that was just linked; `undefined` if empty. */
  initialMessage(): wire.Message | undefined {
    return this.#reportsOf([...this.#runners.values()]);
  }

  /** Forgets what an entry delegated when the link to it is lost. */
  onDisconnected(host: string): void {
    for (const limited of this.#runners.values())
      limited.delegations.remove(host);
  }

  /** Applies the list of runners: limits of runners that are gone end. */
  retain(list: traffic.RunnerList): void {
    const now = this.#now();
    for (const runner of list.runners) {
      const limited = this.#runners.get(traffic.incarnationOf(runner));
      if (limited) limited.listedAt = now;
    }
    for (const [incarnation, limited] of this.#runners) {
      if (now - limited.listedAt <= RETENTION_MILLISECONDS) continue;
      this.#runners.delete(incarnation);
      this.#unreadable.delete(incarnation);
    }
  }

  /** Counts the entries, delegates shares and sends reports; called often. */
  tick(): void {
    const now = this.#now();
    const limited = [...this.#runners.values()].filter((one) => one.isLimited);
    const isIdle = limited.length === 0 && this.#unreported.size === 0;
    if (isIdle && now - this.#censusAt < IDLE_CENSUS_MILLISECONDS) return;
    this.#censusAt = now;
    const { entries, storeReachable } = this.parameters;
    this.#census.update(entries(), storeReachable(), now);
    for (const one of limited) this.#delegate(one, now);
    this.#report(limited, now);
  }

  /** What operators see of the limits in force. */
  describe(): unknown[] {
    const now = this.#now();
    return [...this.#runners.values()]
      .filter(({ isLimited }) => isLimited)
      .map((limited) => ({
        runner: limited.runner,
        service: limited.service,
        perSecond: limited.perSecond,
        age: Math.round(this.#ageOf(limited.fact.receivedAt)),
        allocator: this.#allocatorOf(limited),
        share: this.#shareOf(limited),
        grantedPerSecond: limited.grantedPerSecond(now),
        entries: this.#census.size(now),
      }));
  }

  #instant(): common.Instant {
    return this.parameters.instant?.() ?? common.instant();
  }

  #now(): number {
    return this.#instant().monotonic;
  }

  #ageOf(moment: common.Instant): number {
    return common.ageOf(moment, this.#instant());
  }

  #limitedOf(
    runner: traffic.RunnerEntry,
  ): limitedRunner.LimitedRunner | undefined {
    if (this.#runners.size === 0) return undefined;
    const limited = this.#runners.get(traffic.incarnationOf(runner));
    return limited?.isLimited ? limited : undefined;
  }

  #allocatorOf(limited: limitedRunner.LimitedRunner): string {
    return limited.delegations.allocatorOf(this.parameters.host) ?? "";
  }

  async #admitLimited(
    limited: limitedRunner.LimitedRunner,
    maxDelayMilliseconds: number,
  ): Promise<RateLimitAdmission> {
    const waitMilliseconds = limited.nextAskAt - this.#now();
    if (waitMilliseconds > maxDelayMilliseconds)
      return this.#denied(limited, waitMilliseconds);
    const askedAt = this.#instant();
    const answer = await this.#ask(limited, maxDelayMilliseconds);
    if (answer.kind === "denied")
      return this.#denied(limited, answer.waitMilliseconds);
    const { delayMilliseconds } = answer;
    this.#count(limited, delayMilliseconds > 0 ? "waited" : "granted");
    const permit = new rateLimitPermit.RateLimitPermit(
      limited.incarnation,
      delayMilliseconds,
      askedAt,
    );
    return { kind: "granted", permit };
  }

  async #ask(
    limited: limitedRunner.LimitedRunner,
    maxDelay: number,
  ): Promise<requestPacer.PacerAnswer> {
    const allocator = this.#allocatorOf(limited);
    if (allocator === "" || allocator === this.parameters.host) {
      return this.#schedule(limited, maxDelay);
    }
    const answer = await this.#questions.ask({
      send: (message) => this.parameters.send(allocator, message),
      build: (question) => ({
        kind: wire.MessageKind.RateLimitRequest,
        question,
        life: limited.incarnation,
        maxDelay,
      }),
      timeoutMilliseconds: ASK_TIMEOUT_MILLISECONDS,
    });
    if (answer?.kind !== wire.MessageKind.RateLimitAnswer) {
      return { kind: "denied", waitMilliseconds: ASK_TIMEOUT_MILLISECONDS };
    }
    const { delay, wait } = answer;
    return delay < 0
      ? { kind: "denied", waitMilliseconds: wait }
      : { kind: "granted", delayMilliseconds: delay };
  }

  #schedule(
    limited: limitedRunner.LimitedRunner,
    maxDelayMilliseconds: number,
  ): requestPacer.PacerAnswer {
    return limited.schedule({
      share: this.#shareOf(limited),
      now: this.#now(),
      maxDelayMilliseconds,
    });
  }

  /** Part of a limit, from 0 to 1, that this entry allocates now. */
  #shareOf(limited: limitedRunner.LimitedRunner): number {
    const { host, entries, entriesKnown } = this.parameters;
    if (!entriesKnown()) return 0;
    const now = this.#now();
    const reachable = new Set(
      entries().flatMap((entry) => (entry.reachable ? [entry.host] : [])),
    );
    const shares = limited.delegations
      .delegatorsOf(host, now)
      .filter(
        (entry) =>
          entry === host ||
          (reachable.has(entry) && this.#census.includes(entry)),
      );
    return Math.min(1, shares.length / this.#census.size(now));
  }

  #answer(message: wire.RateLimitRequest, host: string): void {
    const limited = this.#runners.get(message.life);
    const answer: requestPacer.PacerAnswer = limited?.isLimited
      ? this.#schedule(limited, message.maxDelay)
      : { kind: "denied", waitMilliseconds: ASK_TIMEOUT_MILLISECONDS };
    const granted = answer.kind === "granted";
    this.parameters.send(host, {
      kind: wire.MessageKind.RateLimitAnswer,
      question: message.question,
      delay: granted ? answer.delayMilliseconds : -1,
      wait: granted ? 0 : answer.waitMilliseconds,
    });
  }

  #denied(
    limited: limitedRunner.LimitedRunner,
    waitMilliseconds: number,
  ): RateLimitAdmission {
    const wait = Math.max(MIN_ASK_INTERVAL_MILLISECONDS, waitMilliseconds);
    limited.nextAskAt = this.#now() + wait;
    this.#count(limited, "denied");
    return { kind: "denied", waitMilliseconds: wait };
  }

  #count(limited: limitedRunner.LimitedRunner, outcome: string): void {
    const { service } = limited;
    const metric = common.Metric.RateLimitDecisions;
    this.parameters.metrics.count(metric, { service, outcome });
  }

  /** Delegates this entry's share to the entry that all of them prefer. */
  #delegate(limited: limitedRunner.LimitedRunner, now: number): void {
    const { host, entries, leaving } = this.parameters;
    const candidates = entries()
      .filter(({ reachable }) => reachable)
      .map((entry) => entry.host);
    if (!leaving()) candidates.push(host);
    const allocator = common.rendezvous(limited.incarnation, candidates);
    if (allocator === undefined) return;
    if (!limited.delegations.set(host, allocator, now)) return;
    limited.nextAskAt = -Infinity;
    this.#unreported.add(limited.incarnation);
  }

  #receiveReports(message: wire.RateLimitReports, host: string): void {
    const now = this.#instant();
    for (const report of message.limits) {
      const { life, runner, service, allocator } = report;
      const fact = rateLimitReport.factOf(report, now);
      const named = { incarnation: life, runner, service, fact };
      const known = this.#apply(named, { from: host });
      // The sender believes something else than what holds here.
      if (known.fact.perSecond !== fact.perSecond) this.#unreported.add(life);
      if (allocator !== "") known.delegations.set(host, allocator, this.#now());
    }
  }

  /** Applies a fact about a runner; logs and reports it if the limit changes. */
  #apply(
    named: {
      incarnation: string;
      runner: string;
      service: string;
      fact: rateLimitFact.RateLimitFact;
    },
    source: { request: string } | { from: string },
  ): limitedRunner.LimitedRunner {
    const { incarnation, runner, service, fact } = named;
    const known = this.#runners.get(incarnation);
    const before = known?.fact.perSecond;
    const limited =
      known ??
      new limitedRunner.LimitedRunner(incarnation, runner, service, fact, () =>
        this.#now(),
      );
    this.#runners.set(incarnation, limited);
    const isReplaced = known ? known.apply(fact, this.#instant()) : true;
    const { perSecond } = limited.fact;
    if (!isReplaced || before === perSecond) return limited;
    limited.nextAskAt = -Infinity;
    this.#unreported.add(incarnation);
    const code = common.EventCode.RunnerRateLimit;
    this.parameters.logger.event(code, {
      runner,
      service,
      perSecond,
      before,
      ...source,
    });
    return limited;
  }

  #report(limited: limitedRunner.LimitedRunner[], now: number): void {
    if (now - this.#reportedAt >= REPORT_INTERVAL_MILLISECONDS) {
      this.#reportedAt = now;
      for (const { incarnation } of limited) this.#unreported.add(incarnation);
    }
    const changed = [...this.#unreported].flatMap(
      (incarnation) => this.#runners.get(incarnation) ?? [],
    );
    this.#unreported.clear();
    const message = this.#reportsOf(changed);
    if (message) this.parameters.broadcast(message);
  }

  #reportsOf(
    runners: limitedRunner.LimitedRunner[],
  ): wire.RateLimitReports | undefined {
    if (runners.length === 0) return undefined;
    const now = this.#instant();
    const limits = runners.map((limited) =>
      rateLimitReport.toReport(limited, this.#allocatorOf(limited), now),
    );
    return { kind: wire.MessageKind.RateLimitReports, limits };
  }

  #logUnreadable(
    incarnation: string,
    { runner, request }: RateLimitStatement,
    value: string,
  ): void {
    if (this.#unreadable.has(incarnation)) return;
    this.#unreadable.add(incarnation);
    const { identifier, service } = runner;
    const code = common.EventCode.RunnerRateLimitUnreadable;
    const facts = { runner: identifier, service, request, value };
    this.parameters.logger.event(code, facts);
  }
}
