import * as wire from "@geraniumkeel/wire";
import * as heartbeatInterval from "../mesh/heartbeat_interval.ts";
import * as accountShares from "./account_shares.ts";
import * as decayingMean from "./decaying_mean.ts";
import * as eventPace from "./event_pace.ts";
import type * as expectedDurations from "./expected_durations.ts";
import type * as peerLoads from "./peer_loads.ts";
import * as rateWindow from "./rate_window.ts";
import * as retryPacing from "./retry_pacing.ts";
import * as runningMedian from "./running_median.ts";
import * as urgencyRule from "./urgency_rule.ts";

/** Window over which arrivals are measured. */
const ARRIVAL_WINDOW_MILLISECONDS = 2_000;
/**
 * Interval of the reports between entries. It equals that of the mesh
 * heartbeats, which carry the requests in progress that a report is compared with.
 */
export const REPORT_INTERVAL_MILLISECONDS = heartbeatInterval.TICK_MILLISECONDS;
/**
 * Time after the return of a service that stood still in which a request that
 * waited for it may still start. In one report interval every entry learns of
 * the return and of what the others started.
 */
const RETURN_GRACE_MILLISECONDS = REPORT_INTERVAL_MILLISECONDS;
/**
 * Sum of the accounts' shares as a multiple of the capacity. With 1, runners are
 * idle whenever an account sends less than its share for a moment.
 */
const SHARE_OVERSUBSCRIPTION = 1.15;
/**
 * Lower bound of the retry delay, as for requests that find no runner. Callers
 * retry once.
 */
const MIN_RETRY_MILLISECONDS = 250;
/** Fraction of its remaining time after which a caller comes back at the latest. */
const MAX_RETRY_FRACTION = 1 / 3;

/** A request that asks for a place. */
export interface EnteringRequest {
  urgency: number;
  account: string;
  objectiveMilliseconds: number;
  /** Arrival by the queue's clock. */
  arrivedAt: number;
  spentBefore: number;
  /** Whether its caller comes back after a refusal or a broken stream. */
  isReturning: boolean;
  /** Longest time from its arrival for which it waits while runners stand still. */
  maxStandstillMilliseconds: number;
  /** Milliseconds that the caller has left. */
  millisecondsLeft: () => number;
  /** The request leaves the queue when one of them is aborted. */
  signals: readonly AbortSignal[];
}

/** Permission of one request to be in progress, until it is released. */
export interface Place {
  readonly urgency: number;
  /** Runners that have no room for the request. */
  readonly full: ReadonlySet<string>;
  /** Whether the first attempt was sent to a runner. */
  isAtRunner: boolean;
  isReleased: boolean;
}

/** Why a request is refused, and when its caller is to come back. */
export interface AdmissionRefusal {
  reason: urgencyRule.AdmissionReason;
  /** 0 if no time can be told. */
  retryAfterMilliseconds: number;
  inputs: urgencyRule.AdmissionInputs;
  /** Age of the oldest report of another entry in use; -1 for none. */
  reportAge: number;
}

/** Result of asking for a place. */
export type AdmissionOutcome =
  | { kind: "start"; place: Place }
  | { kind: "refuse"; refusal: AdmissionRefusal }
  /** One of the request's signals was aborted. */
  | { kind: "left" };

/** The runners of a service, as the runner tracker knows them. */
export interface ServiceCapacity {
  /** Runners that may receive requests. */
  runners: urgencyRule.RunnerCapacity[];
  /** Whether there are runners that may receive requests again soon. */
  mayReturn: boolean;
  /** Whether a runner may be sent a probe while the service stands still. */
  mayProbe: boolean;
}

interface QueuedRequest extends EnteringRequest {
  number: number;
  /** Whether the request waited while the service stood still. */
  stoodStill: boolean;
  finish: (outcome: AdmissionOutcome) => void;
}

interface UrgencyState {
  running: number;
  waiting: number;
  readonly arrivals: rateWindow.RateWindow;
  readonly createdAt: number;
  readonly pacing: retryPacing.RetryPacing;
  refused: number;
}

/**
 * Admission of the requests for one service at one entry: the requests that
 * wait, those in progress by urgency, the measured durations, and the part of
 * the free capacity that the entry has used since its last report.
 */
export class UrgencyQueue {
  /** Waiting requests in the order in which they are let in. */
  #waiting: QueuedRequest[] = [];
  readonly #urgencies = new Map<number, UrgencyState>();
  readonly #shares: accountShares.AccountShares;
  /** Durations of answers from their first event on. */
  readonly #streams = new decayingMean.DecayingMean();
  /**
   * Times to the first event at runners that seemed to have a free slot. Some had
   * none, as entries know each other's requests 300 ms late, so that the mean
   * would contain time in queues.
   */
  readonly #firstEvents = new runningMedian.RunningMedian();
  readonly #eventPace = new eventPace.EventPace();
  #starting = 0;
  #startedSinceReport = 0;
  #startsSinceReport = 0;
  #inProgressAtReport = 0;
  #nextNumber = 0;
  #standsStill = false;
  #returnedAt = -Infinity;
  /** Place of the request that probes a service which stands still. */
  #probe: Place | undefined;

  constructor(
    readonly parameters: {
      service: string;
      clock: () => number;
      capacity: () => ServiceCapacity;
      /** Shortest objective of the routes to the service. */
      shortestObjectiveMilliseconds: () => number;
      /** What the configuration lets expect before anything is measured. */
      expectedDurations?: () => expectedDurations.Durations | undefined;
      peers: peerLoads.PeerLoads;
    },
  ) {
    this.#shares = new accountShares.AccountShares(parameters);
  }

  /** Number of waiting requests. */
  get length(): number {
    return this.#waiting.length;
  }

  /**
   * Asks for a place. A request that finds one, or is refused, learns so at
   * once, without a promise.
   */
  enter(
    entering: EnteringRequest,
  ): AdmissionOutcome | Promise<AdmissionOutcome> {
    const request = this.#noteArrival(entering);
    const state = this.#stateOf(request.urgency);
    if (request.signals.some(({ aborted }) => aborted)) return { kind: "left" };
    const capacity = this.#currentCapacity();
    const snapshot = this.#snapshot(capacity);
    const facts = this.#factsOf(request, false, 0);
    const decision = decide(snapshot, facts);
    if (decision.kind !== "start") this.#shares.noteShortage();
    const isWithinShare = this.#isWithinShare(request, snapshot, facts);
    if (decision.kind === "refuse") return this.#refuse(request, decision);
    if (!isWithinShare && !urgencyRule.isPlenty(snapshot, facts)) {
      const refusal = urgencyRule.refuseForShare(snapshot, facts);
      return this.#refuse(request, refusal);
    }
    this.#shares.charge(request.account, request.urgency);
    if (decision.kind === "start" && this.#waiting.length === 0)
      return { kind: "start", place: this.#grant(request, decision.full) };
    let outcome: AdmissionOutcome | undefined;
    let resolvePromise: ((outcome: AdmissionOutcome) => void) | undefined;
    const leave = () => this.#finish(queued, { kind: "left" });
    const queued: QueuedRequest = {
      ...request,
      number: this.#nextNumber++,
      stoodStill: false,
      finish: (found) => {
        for (const signal of request.signals)
          signal.removeEventListener("abort", leave);
        outcome = found;
        resolvePromise?.(found);
      },
    };
    for (const signal of request.signals)
      signal.addEventListener("abort", leave, { once: true });
    this.#waiting.push(queued);
    state.waiting++;
    this.letIn();
    if (outcome) return outcome;
    return new Promise((resolve) => (resolvePromise = resolve));
  }

  /**
   * Lets in waiting requests, in order, as far as there is capacity, and refuses
   * those that have waited for too long.
   */
  letIn(): void {
    if (this.#waiting.length === 0) return;
    const now = this.parameters.clock();
    const capacity = this.#currentCapacity();
    const order = [...this.#waiting].sort((left, right) =>
      this.#compare(left, right, now),
    );
    let isBlocked = false;
    let snapshot = this.#snapshot(capacity);
    for (const request of order) {
      if (this.#standsStill) request.stoodStill = true;
      const grace = request.stoodStill
        ? Math.max(0, this.#returnedAt + RETURN_GRACE_MILLISECONDS - now)
        : 0;
      const decision = decide(snapshot, this.#factsOf(request, true, grace));
      if (decision.kind === "refuse") {
        this.#finish(request, this.#refuse(request, decision));
      } else if (
        decision.kind === "start" &&
        (!isBlocked || this.#standsStill)
      ) {
        const place = this.#grant(request, decision.full);
        this.#finish(request, { kind: "start", place });
        snapshot = this.#snapshot(capacity);
      } else if (this.#standsStill && capacity.mayProbe && !this.#probe) {
        this.#probe = this.#grant(request, new Set());
        this.#finish(request, { kind: "start", place: this.#probe });
      } else {
        isBlocked = true;
      }
    }
  }

  /** Notes that the first attempt of a request with a place goes to a runner. */
  noteAtRunner(place: Place): void {
    if (place.isAtRunner || place.isReleased) return;
    place.isAtRunner = true;
    this.#starting--;
  }

  /** Notes the time to the first event at a runner with a free slot. */
  noteFirstEvent(milliseconds: number): void {
    this.#firstEvents.note(milliseconds);
  }

  /**
   * Notes how long an answer took from its first event on. The time before may
   * have been spent in the queue of a runner, and does not occupy a slot.
   */
  noteStream(milliseconds: number): void {
    this.#streams.note(milliseconds);
  }

  /** Notes a pause between two events and the longest one that is in time. */
  notePause(milliseconds: number, longestMilliseconds: number): void {
    this.#eventPace.note(milliseconds, longestMilliseconds);
  }

  /** Frees a place and lets in waiting requests; further calls do nothing. */
  release(place: Place): void {
    if (place.isReleased) return;
    if (!place.isAtRunner) this.#starting--;
    place.isReleased = true;
    if (this.#probe === place) this.#probe = undefined;
    this.#stateOf(place.urgency).running--;
    this.#startedSinceReport--;
    this.letIn();
  }

  /**
   * Begins a new report interval and returns the report; called when entries
   * have exchanged their requests in progress.
   */
  report(): wire.ServiceLoadReport {
    this.#eventPace.adjust();
    this.#beginInterval(this.#currentCapacity());
    this.letIn();
    const urgencies = [...this.#urgencies].map(([urgency, state]) => ({
      urgency,
      running: state.running,
      waiting: state.waiting,
      arrivalsPerSecond: this.#arrivalRate(state) * 1_000,
    }));
    return {
      service: this.parameters.service,
      answerMilliseconds: this.#ownAnswerMilliseconds ?? -1,
      firstEventMilliseconds: this.#firstEvents.value ?? -1,
      accounts: this.#shares.report(),
      urgencies,
    };
  }

  /** State for operators. */
  describe(): ServiceState {
    const { runners } = this.parameters.capacity();
    const { answerMilliseconds, firstEventMilliseconds } = this.#durations();
    const byUrgency = [...this.#urgencies].map(([urgency, state]) => ({
      urgency,
      running: state.running,
      waiting: state.waiting,
      refused: state.refused,
      arrivalsPerSecond: this.#arrivalRate(state) * 1_000,
    }));
    return {
      service: this.parameters.service,
      standsStill: this.#standsStill,
      capacity: runners.reduce((sum, { slots }) => sum + slots, 0),
      capacityFactor: this.#eventPace.capacityFactor,
      inProgress: inProgressAt(runners),
      answerMilliseconds: answerMilliseconds ?? -1,
      firstEventMilliseconds: firstEventMilliseconds ?? -1,
      urgencies: byUrgency.sort((left, right) => left.urgency - right.urgency),
    };
  }

  /** The runners, after noting whether the service stands still. */
  #currentCapacity(): ServiceCapacity {
    const capacity = this.parameters.capacity();
    const standsStill = capacity.runners.length === 0 && capacity.mayReturn;
    if (this.#standsStill && !standsStill) {
      this.#returnedAt = this.parameters.clock();
      this.#probe = undefined;
      // What was free before says nothing about what is free now.
      this.#beginInterval(capacity);
    }
    this.#standsStill = standsStill;
    return capacity;
  }

  #beginInterval({ runners }: ServiceCapacity): void {
    this.#inProgressAtReport = inProgressAt(runners);
    this.#startedSinceReport = 0;
    this.#startsSinceReport = 0;
  }

  get #ownAnswerMilliseconds(): number | undefined {
    const stream = this.#streams.value;
    const firstEvent = this.#firstEvents.value;
    if (stream === undefined || firstEvent === undefined) return undefined;
    return stream + firstEvent;
  }

  /**
   * Own measurements; before there are any those of the others, or what the
   * configuration lets expect.
   */
  #durations(): Pick<
    urgencyRule.ServiceSnapshot,
    "answerMilliseconds" | "firstEventMilliseconds"
  > {
    const answer = this.#ownAnswerMilliseconds;
    const firstEvent = this.#firstEvents.value;
    const reported =
      answer === undefined || firstEvent === undefined
        ? this.parameters.peers.demandFor(this.parameters.service)
        : undefined;
    const expected = this.parameters.expectedDurations?.();
    return {
      answerMilliseconds:
        answer ?? reported?.answerMilliseconds ?? expected?.answerMilliseconds,
      firstEventMilliseconds:
        firstEvent ??
        reported?.firstEventMilliseconds ??
        expected?.firstEventMilliseconds,
    };
  }

  #snapshot(capacity: ServiceCapacity): urgencyRule.ServiceSnapshot {
    const { peers, service } = this.parameters;
    const { capacityFactor } = this.#eventPace;
    const others = peers.demandFor(service);
    const demand = new Map(others.demand);
    let ownDemand = this.#startsSinceReport + 1;
    let otherDemand = 0;
    for (const item of others.demand.values()) {
      otherDemand += item.waiting;
      otherDemand += item.arrivalsPerMillisecond * REPORT_INTERVAL_MILLISECONDS;
    }
    for (const [urgency, state] of this.#urgencies) {
      const { running, waiting } = state;
      const arrivalsPerMillisecond = this.#arrivalRate(state);
      ownDemand += waiting;
      const added = { running, waiting, arrivalsPerMillisecond };
      urgencyRule.addDemand(demand, urgency, added);
    }
    return {
      runners: capacity.runners.map((runner) => ({
        ...runner,
        slots: runner.slots * capacityFactor,
      })),
      mayReturn: capacity.mayReturn,
      shortestObjectiveMilliseconds:
        this.parameters.shortestObjectiveMilliseconds(),
      starting: this.#starting,
      knownShare: peers.knownShare,
      demand,
      ...this.#durations(),
      inProgressAtReport: this.#inProgressAtReport,
      startedSinceReport: this.#startedSinceReport,
      entryShare: ownDemand / (ownDemand + otherDemand),
    };
  }

  #factsOf(
    request: EnteringRequest,
    isWaiting: boolean,
    graceMilliseconds: number,
  ): urgencyRule.AdmissionRequest {
    const { urgency, objectiveMilliseconds, spentBefore } = request;
    return {
      urgency,
      objectiveMilliseconds,
      elapsedMilliseconds: this.parameters.clock() - request.arrivedAt,
      spentBefore,
      isWaiting,
      maxStandstillMilliseconds: request.maxStandstillMilliseconds,
      graceMilliseconds,
    };
  }

  /**
   * Order in which waiting requests are let in: those still in time first, then
   * by urgency, then callers that come back, then in order of arrival. Of those
   * that waited while the service stood still, the latest comes first, as it
   * has the most time left.
   */
  #compare(left: QueuedRequest, right: QueuedRequest, now: number): number {
    const lateness = Number(isLateAt(left, now)) - Number(isLateAt(right, now));
    if (lateness !== 0) return lateness;
    if (left.urgency !== right.urgency) return left.urgency - right.urgency;
    if (left.isReturning !== right.isReturning)
      return left.isReturning ? -1 : 1;
    if (left.stoodStill !== right.stoodStill) return left.stoodStill ? 1 : -1;
    const arrival = left.number - right.number;
    return left.stoodStill ? -arrival : arrival;
  }

  /**
   * Whether a request may ask for capacity by its account's share. Requests that
   * are late get only what others leave, whatever their account.
   */
  #isWithinShare(
    { account, urgency }: EnteringRequest,
    snapshot: urgencyRule.ServiceSnapshot,
    facts: urgencyRule.AdmissionRequest,
  ): boolean {
    if (urgencyRule.isLate(facts)) return true;
    const rate = urgencyRule.freeRate(snapshot, facts, SHARE_OVERSUBSCRIPTION);
    return rate <= 0 || this.#shares.mayStart(account, urgency, rate);
  }

  /**
   * Notes the arrival of a request. One that is late already is no demand for
   * which capacity is reserved. A caller that comes back before its time is
   * charged to its account, and taken as one that is new.
   */
  #noteArrival(request: EnteringRequest): EnteringRequest {
    const { account, urgency } = request;
    if (!isLateAt(request, this.parameters.clock())) {
      this.#stateOf(urgency).arrivals.count();
      this.#shares.noteArrival(account, urgency);
    }
    if (!request.isReturning || this.#shares.noteReturn(account, urgency))
      return request;
    return { ...request, isReturning: false };
  }

  #grant(request: EnteringRequest, full: ReadonlySet<string>): Place {
    const { urgency } = request;
    this.#stateOf(urgency).running++;
    this.#starting++;
    this.#startedSinceReport++;
    this.#startsSinceReport++;
    return { urgency, full, isAtRunner: false, isReleased: false };
  }

  #refuse(
    request: EnteringRequest,
    decision: Extract<urgencyRule.AdmissionDecision, { kind: "refuse" }>,
  ): AdmissionOutcome {
    const { reason, inputs, requestsPerMillisecond } = decision;
    const state = this.#stateOf(request.urgency);
    state.refused++;
    // Without a rate no time is expected; the caller of this module draws one.
    const paced =
      requestsPerMillisecond > 0
        ? state.pacing.nextDelayMilliseconds({
            queueMilliseconds: decision.waitMilliseconds,
            requestsPerMillisecond,
          })
        : 0;
    const latest = request.millisecondsLeft() * MAX_RETRY_FRACTION;
    const retryAfterMilliseconds =
      paced > 0 ? Math.min(Math.max(paced, MIN_RETRY_MILLISECONDS), latest) : 0;
    if (retryAfterMilliseconds > 0)
      this.#shares.noteExpectedReturn(
        request.account,
        request.urgency,
        retryAfterMilliseconds,
      );
    const reportAge = Math.round(this.parameters.peers.oldestAge);
    const refusal = { reason, retryAfterMilliseconds, inputs, reportAge };
    return { kind: "refuse", refusal };
  }

  #finish(request: QueuedRequest, outcome: AdmissionOutcome): void {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return;
    this.#waiting.splice(index, 1);
    this.#stateOf(request.urgency).waiting--;
    request.finish(outcome);
  }

  /**
   * Arrivals per millisecond. Within the first window after the first request,
   * the window counts the time before it as time without arrivals, so that the
   * reserve would be too small after a restart.
   */
  #arrivalRate({ arrivals, createdAt }: UrgencyState): number {
    const age = this.parameters.clock() - createdAt;
    const counted = Math.max(age, REPORT_INTERVAL_MILLISECONDS);
    const factor = Math.max(1, ARRIVAL_WINDOW_MILLISECONDS / counted);
    return arrivals.perMillisecond * factor;
  }

  #stateOf(urgency: number): UrgencyState {
    const reported = Math.min(urgency, wire.LEAST_REPORTED_URGENCY);
    const existing = this.#urgencies.get(reported);
    if (existing) return existing;
    const { clock } = this.parameters;
    const created: UrgencyState = {
      running: 0,
      waiting: 0,
      arrivals: new rateWindow.RateWindow(ARRIVAL_WINDOW_MILLISECONDS, clock),
      createdAt: clock(),
      pacing: new retryPacing.RetryPacing(clock),
      refused: 0,
    };
    this.#urgencies.set(reported, created);
    return created;
  }
}

/** State of a service's admission at this entry, for operators. */
export interface ServiceState {
  service: string;
  standsStill: boolean;
  /** Slots of the runners that may receive requests. */
  capacity: number;
  /** Part of these slots that may be taken at the present pace of streams. */
  capacityFactor: number;
  /** Requests in progress at these runners, from all entries. */
  inProgress: number;
  answerMilliseconds: number;
  firstEventMilliseconds: number;
  urgencies: (wire.UrgencyLoad & { refused: number })[];
}

const decide = urgencyRule.decideAdmission;

function isLateAt(request: EnteringRequest, now: number): boolean {
  const elapsedMilliseconds = now - request.arrivedAt;
  return urgencyRule.isLate({ ...request, elapsedMilliseconds });
}

function inProgressAt(runners: urgencyRule.RunnerCapacity[]): number {
  return runners.reduce((sum, { outstanding }) => sum + outstanding, 0);
}
