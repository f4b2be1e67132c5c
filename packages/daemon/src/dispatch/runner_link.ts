import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import * as wire from "@geraniumkeel/wire";
import * as entryHello from "../entry/entry_hello.ts";
import * as listenModule from "../settings/listen.ts";
import type * as settingsModule from "../settings/settings.ts";
import type * as bodySender from "./body_sender.ts";
import * as openQuestions from "./open_questions.ts";
import * as outgoingAttempt from "./outgoing_attempt.ts";
import * as pendingDispatches from "./pending_dispatches.ts";

/** Pauses between tries to open a link: the first and the longest. */
const INITIAL_PAUSE_MILLISECONDS = 50;
const MAX_PAUSE_MILLISECONDS = 1_000;
/** Ticks without a link after which open attempts are given up. */
const GIVE_UP_TICKS = 10;

/** How long operators are shown a rate limit that a runner told. */
const RATE_LIMIT_SHOWN_MILLISECONDS = 10_000;

/** A request rate limit that a runner told with a refusal. */
export interface ToldRateLimit {
  perSecond: number;
  at: number;
  /** Until when it is used up. */
  until: number;
}

/** Parameters that all runner links of an entry share. */
export interface RunnerLinkParameters {
  settings: settingsModule.EntrySettings;
  /** Incarnation of this entry. */
  incarnation: string;
  logger: common.Logger;
  metrics: common.Metrics;
  random: common.Random;
  certificateAuthority: string | undefined;
  /** Revision of the configuration that this entry uses. */
  revision: () => number;
  /** Called after each load report. */
  onLoad: (runner: RunnerLink) => void;
  /** Called when prefix blocks entered or left the runner's cache. */
  onCacheEvents: (runner: RunnerLink, changes: wire.CacheChange[]) => void;
  /** Called when a link to the runner opens, so that it may accept work. */
  onLinked: () => void;
}

/** What `RunnerLink.dispatch` needs to send an attempt. */
export interface DispatchParameters {
  identifier: string;
  account: string;
  service: string;
  repeatable: boolean;
  /**
   * Pieces of the answer that the runner may send ahead of acknowledgements.
   */
  window: number;
  work: wire.Work;
  /** Counted as pending load of the runner until a load report includes it. */
  promptTokens: number;
  /** Attempts that the runner may have at once. */
  limit: number;
  /**
   * Key and digest of the claim that names this attempt, for keyed requests.
   * The upstream process reports them after the table has been restored.
   */
  claim?: wire.AttemptClaim;
  /** Rest of the request body, if `work` says that it follows in pieces. */
  body?: bodySender.BodySender;
}

/**
 * An entry's state for one runner: the current link to its upstream process,
 * its last reported load, and the open attempts. This state outlives each link.
 * Open attempts resume on the next link, unless the upstream process was
 * replaced or there is no link for `settleAfter` milliseconds.
 */
export class RunnerLink {
  /** Open attempts by identifier. */
  readonly attempts = new Map<string, outgoingAttempt.OutgoingAttempt>();
  /** Load as last reported. */
  load = wire.idleLoad();
  /** The upstream process's hello on the current or the last link. */
  hello: wire.Hello | undefined;
  /**
   * Whether the host list calls the runner leaving, or the directory no longer
   * chooses it from the list. The directory sets this.
   */
  listedLeaving = false;
  /**
   * Whether the upstream process reported that it is leaving, by itself or
   * because an operator drains it. Applies to its present incarnation only.
   */
  #announcedLeaving = false;
  /**
   * When the upstream process last reported a new iteration or that its engine
   * has nothing to do, or sent its hello. The router suspends a rank that has
   * work but makes no progress for too long.
   */
  progressAt = common.now();
  #isFull = false;
  /** Until when the runner wants nothing, as it said. */
  #restsUntil = -Infinity;
  /** The runner's request rate limit, as it last told this entry. */
  #rateLimit: ToldRateLimit | undefined;
  /** Work of this entry that the last load report does not include. */
  readonly #pending = new pendingDispatches.PendingDispatches();
  #link: wire.Link | undefined;
  /** Number of links opened to this runner so far. */
  #linkNumber = 0;
  /**
   * Runs from the loss of a link to the next one. When it fires, the entry
   * gives up all open attempts.
   */
  #giveUpTimer: NodeJS.Timeout | undefined;
  /**
   * The upstream process's clock in milliseconds, as last received and never
   * extrapolated. A new attempt carries it as `issuedAt`, so that the upstream
   * process compares it with its own clock only.
   */
  #upstreamClock = 0;
  readonly #questions = new openQuestions.OpenQuestions();

  constructor(
    readonly host: backingServices.Host,
    readonly parameters: RunnerLinkParameters,
  ) {}

  /**
   * Whether the runner is leaving, by the directory (`listedLeaving`) or by its
   * own report.
   */
  get leaving(): boolean {
    return this.listedLeaving || this.#announcedLeaving;
  }

  /** Whether new work may be sent to the runner. */
  get available(): boolean {
    return this.#link !== undefined && !this.leaving;
  }

  /** Whether a link is open. */
  get linked(): boolean {
    return this.#link !== undefined;
  }

  /** Message and byte counts of the open link; `undefined` without one. */
  get counts(): wire.LinkCounts | undefined {
    return this.#link?.counts;
  }

  /**
   * Sequences by the last load report, plus this entry's requests that the
   * report does not include.
   */
  get sequences(): number {
    return this.load.sequences + this.#pending.count;
  }

  /**
   * Whether the runner refused a dispatch as full since its last load report.
   */
  get isFull(): boolean {
    return this.#isFull;
  }

  /** Whether the runner wants nothing for now. */
  get isResting(): boolean {
    return common.now() < this.#restsUntil;
  }

  /** Whether the runner's request rate limit is used up for now. */
  get isAtRateLimit(): boolean {
    return common.now() < (this.#rateLimit?.until ?? -Infinity);
  }

  /** The runner's rate limit; `undefined` if it told none in the last seconds. */
  get rateLimit(): ToldRateLimit | undefined {
    const told = this.#rateLimit;
    if (!told || common.now() - told.at > RATE_LIMIT_SHOWN_MILLISECONDS)
      return undefined;
    return told;
  }

  /**
   * Prompt tokens of this entry's requests that the last load report does not
   * include.
   */
  get pendingTokens(): number {
    return this.#pending.promptTokens;
  }

  /** Reserves capacity for a request that is about to be dispatched here. */
  reserve(promptTokens: number): pendingDispatches.Reservation {
    return this.#pending.reserve(promptTokens);
  }

  /**
   * Identity of a new attempt, bound to the upstream process's present
   * incarnation; `undefined` without a link.
   */
  newAttempt(identifier: string): wire.Attempt | undefined {
    if (!this.hello || !this.#link) return undefined;
    const { incarnation } = this.hello;
    const issuedAt = this.#upstreamClock;
    return { identifier, agentIncarnation: incarnation, issuedAt };
  }

  /**
   * Maintains a link to the runner until the signal aborts, then gives up all
   * open attempts.
   */
  async run(signal: AbortSignal): Promise<void> {
    const backOff = new common.BackOff({
      firstMilliseconds: INITIAL_PAUSE_MILLISECONDS,
      longestMilliseconds: MAX_PAUSE_MILLISECONDS,
      random: this.parameters.random,
    });
    while (!signal.aborted) {
      const { settings, revision } = this.parameters;
      const dialled = await wire.dial({
        url: listenModule.webSocketLinkUrl(this.host.linkUrl),
        key: settings.processKey,
        timing: settings.timing,
        heartbeat: () => ({ clock: common.now(), revision: revision() }),
        certificateAuthority: this.parameters.certificateAuthority,
      });
      if (dialled.isErr()) {
        await common.sleep(backOff.pause(), signal);
        continue;
      }
      dialled.value.closeOn(signal);
      const greeted = await this.#serve(dialled.value, signal);
      if (greeted) backOff.reset();
      else await common.sleep(backOff.pause(), signal);
    }
    clearInterval(this.#giveUpTimer);
    this.#giveUpAll({ kind: outgoingAttempt.AttemptEventKind.Unreachable });
  }

  /**
   * Sends an attempt, which stays open until `close`. Without a link, sends
   * nothing and returns an attempt that never started.
   */
  dispatch(
    attempt: wire.Attempt,
    dispatch: DispatchParameters,
  ): outgoingAttempt.OutgoingAttempt {
    const outgoing = new outgoingAttempt.OutgoingAttempt(
      attempt,
      dispatch.window,
      dispatch.body,
    );
    if (!this.#link) {
      // The runner was removed, or its link was lost, after the request chose
      // it. The entry sends nothing. Without this event, `followAttempt` might
      // wait for messages that never arrive.
      const kind = outgoingAttempt.AttemptEventKind.StateReported;
      const state = wire.AttemptState.NeverStarted;
      outgoing.events.push({ kind, state });
      return outgoing;
    }
    this.attempts.set(attempt.identifier, outgoing);
    this.#pending.add(dispatch.promptTokens);
    this.#link.send({
      kind: wire.MessageKind.Dispatch,
      attempt,
      account: dispatch.account,
      service: dispatch.service,
      repeatable: dispatch.repeatable,
      window: dispatch.window,
      // 0 means no limit: a streamed body cannot be sent again, so the request
      // could not be retried after a refusal.
      limit: dispatch.body ? 0 : dispatch.limit,
      claim: dispatch.claim,
      work: dispatch.work,
    });
    const send = (message: wire.Message) => this.#link?.send(message);
    dispatch.body?.start(attempt.identifier, send);
    return outgoing;
  }

  /**
   * Opens an attempt that this or another entry dispatched before, to collect
   * its answer.
   */
  collect(
    attempt: wire.Attempt,
    window: number,
  ): outgoingAttempt.OutgoingAttempt {
    const outgoing = new outgoingAttempt.OutgoingAttempt(attempt, window);
    this.attempts.set(attempt.identifier, outgoing);
    this.#resume(outgoing);
    return outgoing;
  }

  /** Reports that all pieces before `offset` were passed on to the caller. */
  acknowledge(identifier: string, offset: number): void {
    const kind = wire.MessageKind.Acknowledge;
    this.#link?.send({ kind, identifier, offset });
  }

  /**
   * Closes an attempt, so that later messages about it are ignored. If
   * `release` is true, tells the runner that it may drop the attempt's answer.
   */
  close(attempt: wire.Attempt, release: boolean): void {
    const { identifier } = attempt;
    this.attempts.delete(identifier);
    const kind = wire.MessageKind.Release;
    if (release) this.#link?.send({ kind, identifier });
  }

  /**
   * Tells the runner to stop an attempt, or to refuse it if it arrives later.
   */
  cancel(attempt: wire.Attempt): void {
    this.#link?.send({ kind: wire.MessageKind.Cancel, attempt });
  }

  /**
   * Settles an attempt: learns from the runner for certain what became of it. A
   * runner that has not started the attempt refuses it from then on, so that
   * `NeverStarted` is final. If the state is `Running` or `Finished`, `collect`
   * gives the outcome. Returns `undefined` if no answer arrives within the
   * timeout.
   */
  async settle(
    attempt: wire.Attempt,
    timeoutMilliseconds: number,
  ): Promise<wire.AttemptState | undefined> {
    const answer = await this.#ask(timeoutMilliseconds, (question) => ({
      kind: wire.MessageKind.Settle,
      attempt,
      question,
    }));
    return answer?.kind === wire.MessageKind.Settled ? answer.state : undefined;
  }

  /**
   * Reads the claims of attempts that recently started at the upstream process;
   * `undefined` if no answer arrives within the timeout.
   */
  async readClaims(
    timeoutMilliseconds: number,
  ): Promise<wire.ClaimsAnswer["claims"] | undefined> {
    const answer = await this.#ask(timeoutMilliseconds, (question) => ({
      kind: wire.MessageKind.ClaimsRequest,
      question,
    }));
    return answer?.kind === wire.MessageKind.ClaimsAnswer
      ? answer.claims
      : undefined;
  }

  /**
   * Sends the rank an order of its group's coordinator, such as a step of a
   * switch of the expert map. `agentIncarnation` is the incarnation of the
   * upstream process for which the order is meant. Returns `undefined` if there
   * is no link or no answer arrives within the timeout; the rank may then have
   * carried out the order or not.
   */
  async order(
    order: wire.Order,
    agentIncarnation: string,
    timeoutMilliseconds: number,
  ): Promise<wire.OrderAnswer | undefined> {
    const answer = await this.#ask(timeoutMilliseconds, (question) => ({
      kind: wire.MessageKind.Order,
      question,
      agentIncarnation,
      order,
    }));
    return answer?.kind === wire.MessageKind.OrderAnswer
      ? answer.answer
      : undefined;
  }

  /**
   * Asks the runner to refuse new work and finish what it has. Returns false if
   * there is no link.
   */
  drain(): boolean {
    this.#link?.send({ kind: wire.MessageKind.Drain });
    return this.#link !== undefined;
  }

  /**
   * Reads the state dump of the upstream process; `undefined` if no answer
   * arrives within the timeout.
   */
  async readState(timeoutMilliseconds: number): Promise<string | undefined> {
    const answer = await this.#ask(timeoutMilliseconds, (question) => ({
      kind: wire.MessageKind.StateRequest,
      question,
    }));
    return answer?.kind === wire.MessageKind.StateAnswer
      ? answer.text
      : undefined;
  }

  async #ask(
    timeoutMilliseconds: number,
    build: (question: number) => wire.Message,
  ): Promise<wire.Message | undefined> {
    const link = this.#link;
    if (!link) return undefined;
    const send = (message: wire.Message) => link.send(message);
    return this.#questions.ask({ send, build, timeoutMilliseconds });
  }

  /**
   * Handles the messages of one link until it ends. Returns false if the
   * upstream process sent no hello.
   */
  async #serve(link: wire.Link, signal: AbortSignal): Promise<boolean> {
    const { settings, incarnation, logger } = this.parameters;
    this.#linkNumber++;
    const linkNumber = this.#linkNumber;
    const revision = this.parameters.revision();
    const parameters = { settings, incarnation, linkNumber, revision };
    link.send(entryHello.entryHello(parameters));
    const hello = await link.receive();
    if (hello?.kind !== wire.MessageKind.Hello) {
      link.close();
      return false;
    }
    try {
      this.#acceptHello(hello);
      this.#link = link;
      link.isBusy = () => this.attempts.size + this.#questions.count > 0;
      clearInterval(this.#giveUpTimer);
      link.onHeartbeat = (heartbeat) => (this.#upstreamClock = heartbeat.clock);
      for (const outgoing of this.attempts.values()) this.#resume(outgoing);
      logger.event(common.EventCode.LinkEstablished, { peer: this.host.name });
      this.parameters.onLinked();
      for await (const message of link.messages()) {
        // Drops messages that were not handled before the link ended. The runner
        // sends the pieces among them again when the attempts resume on the next
        // link.
        if (link.end !== undefined) break;
        this.#handle(message);
      }
    } finally {
      // Also after an exception: nobody reads the link any more, and requests
      // must not be sent on it.
      this.#link = undefined;
      link.close();
      this.#startGivingUp();
      if (!signal.aborted) this.#logLinkEnd(link);
    }
    return true;
  }

  /**
   * Gives up the open attempts unless a link opens within `settleAfter`. Counts
   * its ticks and not wall time: after a pause of this process its timers run
   * before it reads that the next link is there.
   */
  #startGivingUp(): void {
    const { settleAfter } = this.parameters.settings.timing;
    clearInterval(this.#giveUpTimer);
    let ticks = 0;
    this.#giveUpTimer = setInterval(() => {
      if (++ticks < GIVE_UP_TICKS) return;
      clearInterval(this.#giveUpTimer);
      const kind = outgoingAttempt.AttemptEventKind.Unreachable;
      this.#giveUpAll({ kind });
    }, settleAfter / GIVE_UP_TICKS);
  }

  /**
   * Applies the hello of a new link. If it comes from another incarnation of
   * the upstream process, gives up the open attempts, which that one does not
   * know.
   */
  #acceptHello(hello: wire.Hello): void {
    const replaced =
      this.hello !== undefined && this.hello.incarnation !== hello.incarnation;
    this.hello = hello;
    this.#announcedLeaving = hello.leaving;
    this.#upstreamClock = hello.clock;
    this.#pending.reset();
    this.#isFull = false;
    this.progressAt = common.now();
    if (!replaced) return;
    const peer = this.host.name;
    const code = common.EventCode.RunnerIncarnationChanged;
    this.parameters.logger.event(code, { peer });
    this.load = wire.idleLoad();
    this.#giveUpAll({
      kind: outgoingAttempt.AttemptEventKind.UpstreamReplaced,
    });
  }

  #resume(outgoing: outgoingAttempt.OutgoingAttempt): void {
    this.#link?.send({
      kind: wire.MessageKind.Resume,
      attempt: outgoing.attempt,
      offset: outgoing.nextOffset,
      window: outgoing.window,
    });
  }

  #handle(message: wire.Message): void {
    switch (message.kind) {
      case wire.MessageKind.Refused: {
        const { reason } = message;
        const kind = outgoingAttempt.AttemptEventKind.Refused;
        if (reason === wire.RefusalReason.Leaving) this.#markLeaving();
        if (reason === wire.RefusalReason.Full) this.#isFull = true;
        if (reason === wire.RefusalReason.AtRateLimit)
          this.#noteRateLimit(message.retryAfter ?? 0, message.perSecond ?? 0);
        if (reason === wire.RefusalReason.Resting)
          this.#restsUntil = common.now() + (message.retryAfter ?? 0);
        this.#findAttempt(message.identifier)?.events.push({ kind, reason });
        return;
      }
      case wire.MessageKind.Head:
        return this.#findAttempt(message.identifier)?.receiveHead(message.head);
      case wire.MessageKind.Pieces: {
        const { offset, pieces } = message;
        return this.#findAttempt(message.identifier)?.receivePieces(
          offset,
          pieces,
        );
      }
      case wire.MessageKind.End:
        return this.#findAttempt(message.identifier)?.receiveEnd(
          message.offset,
          message.end,
        );
      case wire.MessageKind.BodyWanted:
        return this.#findAttempt(message.identifier)?.body?.sendFrom(
          message.index,
        );
      case wire.MessageKind.Settled:
        return this.#acceptSettled(message);
      case wire.MessageKind.OrderAnswer:
      case wire.MessageKind.ClaimsAnswer:
      case wire.MessageKind.StateAnswer:
        return this.#questions.answer(message.question, message);
      case wire.MessageKind.Load:
        return this.#acceptLoad(message);
      case wire.MessageKind.CacheEvents:
        return this.parameters.onCacheEvents(this, message.changes);
      case wire.MessageKind.Leaving:
        return this.#markLeaving();
      default:
        return;
    }
  }

  #acceptSettled(
    message: Extract<wire.Message, { kind: wire.MessageKind.Settled }>,
  ): void {
    const { question, state } = message;
    // 0 means that no question asked for the state: the upstream process has no
    // record of an attempt that this entry resumed.
    if (question !== 0) return this.#questions.answer(question, message);
    const kind = outgoingAttempt.AttemptEventKind.StateReported;
    this.#findAttempt(message.identifier)?.events.push({ kind, state });
  }

  /**
   * The open attempt with an identifier. If there is none, the message that
   * names it is stale, because this entry has closed the attempt, and is
   * counted.
   */
  #findAttempt(
    identifier: string,
  ): outgoingAttempt.OutgoingAttempt | undefined {
    const outgoing = this.attempts.get(identifier);
    if (!outgoing) this.parameters.metrics.count(common.Metric.StaleFrames);
    return outgoing;
  }

  #acceptLoad(
    message: Extract<wire.Message, { kind: wire.MessageKind.Load }>,
  ): void {
    const { load, dispatches } = message;
    const iterated = load.step !== this.load.step;
    if (iterated || load.sequences === 0) this.progressAt = common.now();
    // The engine had nothing to do at the report before, so the time without an
    // iteration counts from this report on.
    if (this.load.sequences === 0) this.progressAt = common.now();
    this.load = load;
    this.#isFull = false;
    this.#upstreamClock = message.clock;
    this.#pending.removeReported(dispatches);
    this.parameters.onLoad(this);
  }

  #noteRateLimit(retryAfterMilliseconds: number, perSecond: number): void {
    const at = common.now();
    this.#rateLimit = { perSecond, at, until: at + retryAfterMilliseconds };
  }

  #markLeaving(): void {
    if (this.#announcedLeaving) return;
    this.#announcedLeaving = true;
    const peer = this.host.name;
    this.parameters.logger.event(common.EventCode.RunnerLeaving, { peer });
  }

  #logLinkEnd(link: wire.Link): void {
    const { logger, metrics } = this.parameters;
    const silent = link.end === wire.LinkEnd.Silent;
    if (silent) metrics.count(common.Metric.LinksSilent);
    const code = silent
      ? common.EventCode.LinkSilent
      : common.EventCode.LinkLost;
    logger.event(code, { peer: this.host.name, reason: link.end });
  }

  /**
   * Gives up all open attempts: `followAttempt` returns `Unsettled` for them
   * and closes them. They may still run at the runner.
   */
  #giveUpAll(event: outgoingAttempt.AttemptEvent): void {
    for (const outgoing of this.attempts.values()) outgoing.events.push(event);
  }
}
