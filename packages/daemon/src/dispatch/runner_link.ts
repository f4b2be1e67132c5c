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

const INITIAL_PAUSE_MILLISECONDS = 50;
const MAX_PAUSE_MILLISECONDS = 1_000;

/** What an entry's links to runners share. */
export interface RunnerLinkParameters {
  settings: settingsModule.EntrySettings;
  incarnation: string;
  logger: common.Logger;
  metrics: common.Metrics;
  random: common.Random;
  certificateAuthority: string | undefined;
  revision: () => number;
  onLoad: (runner: RunnerLink) => void;
  onCacheEvents: (runner: RunnerLink, changes: wire.CacheChange[]) => void;
  /** Called when the runner may take work again, or more of it. */
  onCapacity: () => void;
}

/** An attempt to be sent to the runner. */
export interface DispatchParameters {
  identifier: string;
  account: string;
  service: string;
  repeatable: boolean;
  window: number;
  work: wire.Work;
  promptTokens: number;
  /** Attempts that the runner may have at once. */
  limit: number;
  /** The claim that names it, for requests under an idempotency key. */
  claim?: wire.AttemptClaim;
  /** Rest of the request body, if the work says that it follows. */
  body?: bodySender.BodySender;
}

/**
 * An entry's side of one runner: the link, the load as last heard, and the
 * attempts that are not settled. They outlive any one connection.
 */
export class RunnerLink {
  readonly attempts = new Map<string, outgoingAttempt.OutgoingAttempt>();
  load = wire.idleLoad();
  hello: wire.Hello | undefined;
  /** The host list calls it leaving, or names it no more. */
  listedLeaving = false;
  /** It said so itself, or an operator did; holds for its incarnation. */
  #announcedLeaving = false;
  /** When this rank's engine was last seen to step, or had nothing to do. */
  progressAt = common.now();
  /** It turned a dispatch away since its last load report. */
  #isFull = false;
  /** Own dispatches that the load does not yet include. */
  readonly #pending = new pendingDispatches.PendingDispatches();
  #link: wire.Link | undefined;
  #linkNumber = 0;
  /** Runs while there is no link; at its end attempts are given up. */
  #giveUpTimer: NodeJS.Timeout | undefined;
  /** The upstream process's clock as last heard, never extrapolated. */
  #upstreamClock = 0;
  readonly #questions = new openQuestions.OpenQuestions();

  constructor(
    readonly host: backingServices.Host,
    readonly parameters: RunnerLinkParameters,
  ) {}

  /** Whether it gets no new work, by whichever word came first. */
  get leaving(): boolean {
    return this.listedLeaving || this.#announcedLeaving;
  }

  /** Whether new work may be sent. */
  get available(): boolean {
    return this.#link !== undefined && !this.leaving;
  }

  /** Whether a link is open. */
  get linked(): boolean {
    return this.#link !== undefined;
  }

  /** Message and byte counts of the open link. */
  get counts(): wire.LinkCounts | undefined {
    return this.#link?.counts;
  }

  /** Sequences as reported, and what the report lacks of own requests. */
  get sequences(): number {
    return this.load.sequences + this.#pending.count;
  }

  /** Whether it said so, and has told of no change since. */
  get isFull(): boolean {
    return this.#isFull;
  }

  /** Prompt tokens of own requests that the last load report lacks. */
  get pendingTokens(): number {
    return this.#pending.promptTokens;
  }

  /** Takes room for a request that is about to be dispatched here. */
  reserve(promptTokens: number): pendingDispatches.Reservation {
    return this.#pending.reserve(promptTokens);
  }

  /** Identity for a new attempt, bound to the runner's present incarnation. */
  newAttempt(identifier: string): wire.Attempt | undefined {
    if (!this.hello || !this.#link) return undefined;
    const { incarnation } = this.hello;
    const issuedAt = this.#upstreamClock;
    return { identifier, agentIncarnation: incarnation, issuedAt };
  }

  /** Keeps a link to the runner until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const backOff = new common.BackOff({
      firstMilliseconds: INITIAL_PAUSE_MILLISECONDS,
      longestMilliseconds: MAX_PAUSE_MILLISECONDS,
      random: this.parameters.random,
    });
    while (!signal.aborted) {
      const { settings, revision } = this.parameters;
      const dialled = await wire.dial({
        url: listenModule.linkUrl(this.host.linkUrl),
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
    clearTimeout(this.#giveUpTimer);
    this.#giveUpAll({ kind: outgoingAttempt.AttemptEventKind.Unreachable });
  }

  /** Sends an attempt; it stays open until `close`. */
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
      // The runner was dropped, or its link lost, between its choice and now:
      // nothing is sent, and nothing might ever be heard.
      const kind = outgoingAttempt.AttemptEventKind.Settled;
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
      // What was sent of a body is gone, so it could not be sent again.
      limit: dispatch.body ? 0 : dispatch.limit,
      claim: dispatch.claim,
      work: dispatch.work,
    });
    const send = (message: wire.Message) => this.#link?.send(message);
    dispatch.body?.start(attempt.identifier, send);
    return outgoing;
  }

  /** Opens an attempt that another entry made, to collect its answer. */
  collect(
    attempt: wire.Attempt,
    window: number,
  ): outgoingAttempt.OutgoingAttempt {
    const outgoing = new outgoingAttempt.OutgoingAttempt(attempt, window);
    this.attempts.set(attempt.identifier, outgoing);
    this.#resume(outgoing);
    return outgoing;
  }

  /** Everything before `offset` has been passed on. */
  acknowledge(identifier: string, offset: number): void {
    const kind = wire.MessageKind.Acknowledge;
    this.#link?.send({ kind, identifier, offset });
  }

  /** Forgets an attempt that is settled; the runner may drop its answer. */
  close(attempt: wire.Attempt, release: boolean): void {
    const { identifier } = attempt;
    this.attempts.delete(identifier);
    const kind = wire.MessageKind.Release;
    if (release) this.#link?.send({ kind, identifier });
  }

  /** Stops an attempt, or refuses it if it has not arrived. */
  cancel(attempt: wire.Attempt): void {
    this.#link?.send({ kind: wire.MessageKind.Cancel, attempt });
  }

  /** Settles an attempt; `undefined` when the runner did not answer. */
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

  /** Claims of attempts that started there lately; `undefined` without an answer. */
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

  /** Gives a group order; `undefined` when the answer is unknown. */
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

  /** Asks the runner to refuse new work and finish what it has. */
  drain(): boolean {
    this.#link?.send({ kind: wire.MessageKind.Drain });
    return this.#link !== undefined;
  }

  /** Reads the state dump of the upstream process. */
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

  /** Serves one connection; false if it never came to a greeting. */
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
    this.#acceptHello(hello);
    this.#link = link;
    link.isBusy = () => this.attempts.size + this.#questions.count > 0;
    clearTimeout(this.#giveUpTimer);
    link.onHeartbeat = (heartbeat) => (this.#upstreamClock = heartbeat.clock);
    for (const outgoing of this.attempts.values()) this.#resume(outgoing);
    logger.event(common.EventCode.LinkEstablished, { peer: this.host.name });
    this.parameters.onCapacity();
    for await (const message of link.messages()) {
      if (link.end !== undefined) break;
      this.#handle(message);
    }
    this.#link = undefined;
    const unreachable = outgoingAttempt.AttemptEventKind.Unreachable;
    this.#giveUpTimer = setTimeout(
      () => this.#giveUpAll({ kind: unreachable }),
      settings.timing.settleAfter,
    );
    if (!signal.aborted) this.#logLinkEnd(link);
    return true;
  }

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
    if (question !== 0) return this.#questions.answer(question, message);
    const kind = outgoingAttempt.AttemptEventKind.Settled;
    this.#findAttempt(message.identifier)?.events.push({ kind, state });
  }

  /** A frame of an attempt that is not open belongs to no request any more. */
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
    if (this.load.sequences === 0) this.progressAt = common.now();
    this.load = load;
    this.#isFull = false;
    this.#upstreamClock = message.clock;
    this.#pending.removeReported(dispatches);
    this.parameters.onLoad(this);
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

  /** Requests get their final answer now: nothing more will be heard. */
  #giveUpAll(event: outgoingAttempt.AttemptEvent): void {
    for (const outgoing of this.attempts.values()) outgoing.events.push(event);
  }
}
