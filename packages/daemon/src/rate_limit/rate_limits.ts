import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as openQuestions from "../dispatch/open_questions.ts";
import * as limitShares from "./limit_shares.ts";
import type * as limitSource from "./limit_source.ts";
import * as limitedRunner from "./limited_runner.ts";
import * as limitedRunners from "./limited_runners.ts";
import * as rateLimitFact from "./rate_limit_fact.ts";
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
  /** What sets the limit. */
  source: limitSource.LimitSource;
  perSecond: number;
  /** Part of the limit that this entry allocates, from 0 to 1. */
  share: number;
  allocator: string;
  /** Milliseconds since what sets the limit was heard. */
  age: number;
  /** Milliseconds that the request waited, or would have had to wait. */
  wait: number;
}

/** What the rate limits need of their entry. */
export interface RateLimitsParameters
  extends limitShares.LimitSharesParameters {
  /** Requests a second to a runner that warms up, by service; 0 for no bound. */
  warmUpRateOf: (service: string) => number;
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
 * Enforces the request rate limits that runners name in their answers, and those
 * of runners that warm up: the requests a second that a runner takes from all
 * entries together.
 *
 * Every entry has an equal share of each limit and delegates it to the entry
 * that all of them prefer for that runner, the allocator. A request for a
 * limited runner needs a permit of the allocator, so one busy entry can use the
 * whole limit, and however many entries there are, they send no more together.
 * An entry that hears no other keeps its own share, if that is large enough.
 */
export class RateLimits {
  readonly #runners: limitedRunners.LimitedRunners;
  readonly #shares: limitShares.LimitShares;
  readonly #questions = new openQuestions.OpenQuestions();
  #censusAt = -Infinity;
  #reportedAt = -Infinity;

  constructor(readonly parameters: RateLimitsParameters) {
    const { warmUpRateOf, logger } = parameters;
    this.#shares = new limitShares.LimitShares(parameters);
    this.#runners = new limitedRunners.LimitedRunners({
      instant: () => this.#instant(),
      warmUpRateOf,
      logger,
    });
  }

  /** Notes what an answer says. */
  note(statement: RateLimitStatement): void {
    const { runner, request, reading, signed, sentAt } = statement;
    const incarnation = traffic.incarnationOf(runner);
    if (reading.kind === "unreadable") {
      return this.#logUnreadable(incarnation, statement, reading.text);
    }
    // A broken answer without the header does not show that a limit is over.
    if (reading.kind === "absent" && !signed) return;
    const known = this.#runners.get(incarnation);
    const namedBefore = known && known.fact !== rateLimitFact.NO_STATEMENT;
    if (reading.kind === "absent" && !namedBefore) return;
    const perSecond = reading.kind === "named" ? reading.perSecond : undefined;
    const fact = { perSecond, sentAt, receivedAt: this.#instant() };
    const { identifier, service } = runner;
    const named = { incarnation, runner: identifier, service, fact };
    this.#runners.apply(named, { request });
  }

  /**
   * Milliseconds until asking for a permit for a runner makes sense; 0 if the
   * runner has no limit or may have room within it.
   */
  waitOf(runner: traffic.RunnerEntry): number {
    const limited = this.#runners.limitedOf(runner);
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
    const limited = this.#runners.limitedOf(runner);
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
    const limited = this.#runners.limitedOf(runner);
    if (!limited) return undefined;
    return {
      runner: limited.runner,
      source: limited.source,
      perSecond: limited.perSecond,
      share: this.#shareOf(limited),
      allocator: this.#shares.allocatorOf(limited),
      age: Math.round(limited.ageMilliseconds(this.#instant())),
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
    const limited = this.#runners.limitedOf(runner);
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
    const known = this.#runners
      .all()
      .filter(
        ({ isLimited, fact }) =>
          isLimited || fact !== rateLimitFact.NO_STATEMENT,
      );
    return this.#reportsOf(known);
  }

  /** Forgets what an entry delegated when the link to it is lost. */
  onDisconnected(host: string): void {
    for (const limited of this.#runners.all()) limited.delegations.remove(host);
  }

  /**
   * Applies the list of runners: which of them warm up, and that limits of
   * runners that are gone end.
   */
  retain(list: traffic.RunnerList): void {
    const began = this.#runners.retain(list);
    // The others are told at once to whom this entry delegates: its share counts
    // a second after they heard of it.
    if (began) this.tick();
  }

  /** Counts the entries, delegates shares and sends reports; called often. */
  tick(): void {
    const now = this.#now();
    this.#runners.noteWarmUps();
    const limited = this.#runners.limited();
    const { unreported } = this.#runners;
    const isIdle = limited.length === 0 && unreported.size === 0;
    if (isIdle && now - this.#censusAt < IDLE_CENSUS_MILLISECONDS) return;
    this.#censusAt = now;
    this.#shares.update(now);
    for (const one of limited) {
      if (!this.#shares.delegate(one, now)) continue;
      one.nextAskAt = -Infinity;
      unreported.add(one.incarnation);
    }
    this.#report(limited, now);
  }

  /** What operators see of the limits in force. */
  describe(): unknown[] {
    const now = this.#now();
    return this.#runners.limited().map((limited) => ({
      runner: limited.runner,
      service: limited.service,
      source: limited.source,
      perSecond: limited.perSecond,
      age: Math.round(limited.ageMilliseconds(this.#instant())),
      allocator: this.#shares.allocatorOf(limited),
      share: this.#shareOf(limited),
      grantedPerSecond: limited.grantedPerSecond(now),
      entries: this.#shares.size(now),
    }));
  }

  #instant(): common.Instant {
    return this.parameters.instant?.() ?? common.instant();
  }

  #now(): number {
    return this.#instant().monotonic;
  }

  async #admitLimited(
    limited: limitedRunner.LimitedRunner,
    maxDelayMilliseconds: number,
  ): Promise<RateLimitAdmission> {
    const holdOff = limited.holdOffMilliseconds(this.#now());
    if (holdOff > 0) return this.#denied(limited, holdOff);
    const waitMilliseconds = limited.nextAskAt - this.#now();
    if (waitMilliseconds > maxDelayMilliseconds)
      return this.#denied(limited, waitMilliseconds);
    const askedAt = this.#instant();
    const wasWarmingUp = limited.isWarmingUp;
    const answer = await this.#ask(limited, maxDelayMilliseconds);
    if (answer.kind === "denied")
      return this.#denied(limited, answer.waitMilliseconds);
    const { delayMilliseconds } = answer;
    this.#count(limited, delayMilliseconds > 0 ? "waited" : "granted");
    const permit = new rateLimitPermit.RateLimitPermit(
      limited.incarnation,
      delayMilliseconds,
      askedAt,
      wasWarmingUp
        ? limitedRunner.WARM_UP_VALIDITY_MILLISECONDS
        : rateLimitPermit.VALIDITY_MILLISECONDS,
      () => limited.isWarmingUp && !wasWarmingUp,
    );
    return { kind: "granted", permit };
  }

  async #ask(
    limited: limitedRunner.LimitedRunner,
    maxDelay: number,
  ): Promise<requestPacer.PacerAnswer> {
    const allocator = this.#shares.allocatorOf(limited);
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

  #shareOf(limited: limitedRunner.LimitedRunner): number {
    return this.#shares.shareOf(limited, this.#now());
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

  #receiveReports(message: wire.RateLimitReports, host: string): void {
    const now = this.#instant();
    for (const report of message.limits) {
      const { life, runner, service, allocator } = report;
      const fact = rateLimitReport.factOf(report, now);
      const named = { incarnation: life, runner, service, fact };
      const known = this.#runners.apply(named, { from: host });
      known.warmUpToldAt = this.#now();
      // The sender believes something else than what holds here.
      if (known.fact.perSecond !== fact.perSecond)
        this.#runners.unreported.add(life);
      if (allocator !== "") known.delegations.set(host, allocator, this.#now());
    }
  }

  #report(limited: limitedRunner.LimitedRunner[], now: number): void {
    const { unreported } = this.#runners;
    if (now - this.#reportedAt >= REPORT_INTERVAL_MILLISECONDS) {
      this.#reportedAt = now;
      for (const { incarnation } of limited) unreported.add(incarnation);
    }
    const changed = [...unreported].flatMap(
      (incarnation) => this.#runners.get(incarnation) ?? [],
    );
    unreported.clear();
    const message = this.#reportsOf(changed);
    if (message) this.parameters.broadcast(message);
  }

  #reportsOf(
    runners: limitedRunner.LimitedRunner[],
  ): wire.RateLimitReports | undefined {
    if (runners.length === 0) return undefined;
    const now = this.#instant();
    const limits = runners.map((limited) =>
      rateLimitReport.toReport(limited, this.#shares.allocatorOf(limited), now),
    );
    return { kind: wire.MessageKind.RateLimitReports, limits };
  }

  #logUnreadable(
    incarnation: string,
    { runner, request }: RateLimitStatement,
    value: string,
  ): void {
    const { unreadable } = this.#runners;
    if (unreadable.has(incarnation)) return;
    unreadable.add(incarnation);
    const { identifier, service } = runner;
    const code = common.EventCode.RunnerRateLimitUnreadable;
    const facts = { runner: identifier, service, request, value };
    this.parameters.logger.event(code, facts);
  }
}
