import * as common from "@geraniumkeel/common";
import type * as urgencyAdmission from "../admission/urgency_admission.ts";
import type * as retryBudget from "../dispatch/retry_budget.ts";
import * as traffic from "@geraniumkeel/traffic";
import type * as crashDetector from "../quarantine/crash_detector.ts";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as plannedStop from "../shutdown/planned_stop.ts";
import * as answerBuffers from "./answer_buffers.ts";
import * as answerDurations from "./answer_durations.ts";
import * as admitRequest from "./admit_request.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import * as callerRequest from "./caller_request.ts";
import * as forwardedRequest from "./forwarded_request.ts";
import * as requestClock from "./request_clock.ts";
import * as stopsBeforeEnd from "./stops_before_end.ts";
import * as timeoutHistory from "./timeout_history.ts";
import type * as runnerTracker from "./runner_tracker.ts";
import type * as rateLimits from "../rate_limit/rate_limits.ts";
import type * as runnerRests from "../runner_rest/runner_rests.ts";
import type * as runnerClientModule from "./runner_client.ts";

/** What a forwarder needs. */
export interface ForwarderParameters {
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
  /**
   * Milliseconds for which this entry may have missed a newer configuration.
   */
  proofAge: () => number;
  /**
   * Age of the configuration's proof up to which requests that need a key run.
   */
  maxProofAgeMilliseconds: number;
  admission: urgencyAdmission.UrgencyAdmission;
  tracker: runnerTracker.RunnerTracker;
  /** The runner list, and until when it is proved. */
  runners: traffic.ProvenValue<traffic.RunnerList>;
  runnerClient: runnerClientModule.RunnerClient;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  quarantine: quarantine.Quarantine;
  crashDetector: crashDetector.CrashDetector;
  /** Called when the head of a signed successful answer has arrived. */
  onAnswerStart: (runner: traffic.RunnerEntry) => void;
  rateLimits: rateLimits.RateLimits;
  rests: runnerRests.RunnerRests;
  /** Called when a runner first says in an answer that it is leaving. */
  onLeaving: (runner: traffic.RunnerEntry, request: string) => void;
  stop: plannedStop.PlannedStop;
  bounds: answerBuffers.AnswerBounds;
  /**
   * Milliseconds after which a caller is to come back that is refused because
   * this entry stops.
   */
  retryElsewhereMilliseconds: () => number;
  random: common.Random;
  logger: common.Logger;
  metrics: common.Metrics;
}

/** Whether a request may be forwarded, by its head. */
export type HeadDecision =
  { kind: "admitted"; millisecondsLeft: number } | admitRequest.RefusedRequest;

/** Forwards callers' requests to runners and relays the answers. */
export class Forwarder {
  #view: traffic.TrafficView | undefined;
  #underWay = 0;
  readonly #buffers: answerBuffers.AnswerBuffers;
  readonly #durations = new answerDurations.AnswerDurations();
  readonly #timeoutHistory = new timeoutHistory.TimeoutHistory();

  constructor(readonly parameters: ForwarderParameters) {
    this.#buffers = new answerBuffers.AnswerBuffers(parameters.bounds);
  }

  /** Number of requests that have no final answer yet. */
  get underWay(): number {
    return this.#underWay;
  }

  /** Bytes that are held of answers. */
  get heldBytes(): { answers: number; deliveries: number } {
    const { bytes: answers, deliveries } = this.#buffers;
    return { answers, deliveries: deliveries.bytes };
  }

  /**
   * Handles one request until it has its final answer or its caller has
   * disconnected.
   */
  async forward(
    request: callerRequest.CallerRequest,
    sink: callerRequest.AnswerSink,
  ): Promise<void> {
    this.#underWay++;
    try {
      await this.#forward(request, sink);
    } finally {
      this.#underWay--;
    }
  }

  /**
   * Decides by its head whether a request may be forwarded, so that the body of one
   * that may not need not be read.
   */
  admit(request: callerRequest.RequestHead): HeadDecision {
    const admitted = this.#admit(request);
    if (admitted.kind === "refused") return admitted;
    const { stop, retryElsewhereMilliseconds } = this.parameters;
    const { route } = admitted;
    const clock = new requestClock.RequestClock(request, route);
    const durations = this.#durations;
    if (stopsBeforeEnd.stopsBeforeEnd({ stop, durations, route, clock })) {
      const kind = callerRequest.RefusalKind.NotRun;
      const { reason } = attemptOutcome.STOPPED;
      const retryAfterMilliseconds = retryElsewhereMilliseconds();
      const refusal = { kind, reason, retryAfterMilliseconds };
      return { kind: "refused", refusal };
    }
    return { kind: "admitted", millisecondsLeft: clock.millisecondsLeft };
  }

  /** Gives the caller of a request that is not forwarded its final answer. */
  async refuse(
    request: callerRequest.RequestHead,
    refusal: callerRequest.Refusal,
    sink: callerRequest.AnswerSink,
  ): Promise<void> {
    const { kind, reason } = refusal;
    this.parameters.metrics.count(common.Metric.Refusals, { reason });
    const delivered = await sink.refuse(refusal);
    const facts = { ...this.#factsOf(request), kind, reason, delivered };
    this.parameters.logger.event(common.EventCode.ForwardRefused, facts);
  }

  async #forward(
    request: callerRequest.CallerRequest,
    sink: callerRequest.AnswerSink,
  ): Promise<void> {
    const admitted = this.#admit(request);
    switch (admitted.kind) {
      case "refused":
        return this.refuse(request, admitted.refusal, sink);
      case "admitted":
        return this.#forwardAdmitted(request, admitted, sink);
    }
  }

  #admit(
    request: callerRequest.RequestHead,
  ): admitRequest.AdmittedRequest | admitRequest.RefusedRequest {
    const { maxProofAgeMilliseconds } = this.parameters;
    return admitRequest.admitRequest({
      request,
      view: this.#currentView(),
      proofAge: this.parameters.proofAge(),
      maxProofAgeMilliseconds,
    });
  }

  async #forwardAdmitted(
    request: callerRequest.CallerRequest,
    { route, account, urgency }: admitRequest.AdmittedRequest,
    sink: callerRequest.AnswerSink,
  ): Promise<void> {
    const facts = this.#factsOf(request);
    const spentBefore = this.#timeoutHistory.spentBefore({
      route: route.name,
      account: account?.name ?? "",
      timeoutMilliseconds: request.timeoutMilliseconds,
    });
    const forwarded = new forwardedRequest.ForwardedRequest({
      ...this.parameters,
      request,
      sink,
      route,
      account,
      urgency,
      spentBefore,
      durations: this.#durations,
      buffers: this.#buffers,
      service: this.#chooseService(route),
    });
    const outcome = await forwarded.run();
    this.parameters.logger.event(common.EventCode.Forwarded, {
      ...facts,
      spentBefore: Math.round(spentBefore),
      ...outcome,
    });
  }

  /** What the log says of the configuration that a request met. */
  #factsOf({ identifier }: callerRequest.RequestHead): object {
    const { configuration, proofAge } = this.parameters;
    const age = Math.round(proofAge());
    return { request: identifier, version: configuration.version, age };
  }

  #currentView(): traffic.TrafficView | undefined {
    const { value } = this.parameters.configuration;
    if (value && this.#view?.configuration !== value) {
      this.#view = new traffic.TrafficView(value);
    }
    return this.#view;
  }

  /**
   * Chooses one of the route's services at random, in proportion to the
   * weights.
   */
  #chooseService(route: traffic.Route): string {
    const { shares } = route;
    const total = shares.reduce((sum, { weight }) => sum + weight, 0);
    let remainingWeight = this.parameters.random.between(0, total);
    for (const { service, weight } of shares) {
      remainingWeight -= weight;
      if (remainingWeight < 0) return service;
    }
    return shares[0].service;
  }
}
