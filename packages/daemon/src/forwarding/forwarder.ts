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
import * as callerRequest from "./caller_request.ts";
import * as forwardedRequest from "./forwarded_request.ts";
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
  /**
   * Milliseconds after which a caller is to come back that is refused because
   * this entry stops.
   */
  retryElsewhereMilliseconds: () => number;
  random: common.Random;
  logger: common.Logger;
  metrics: common.Metrics;
}

/** Forwards callers' requests to runners and relays the answers. */
export class Forwarder {
  #view: traffic.TrafficView | undefined;
  #underWay = 0;
  readonly #buffers = new answerBuffers.AnswerBuffers();
  readonly #durations = new answerDurations.AnswerDurations();
  readonly #timeoutHistory = new timeoutHistory.TimeoutHistory();

  constructor(readonly parameters: ForwarderParameters) {}

  /** Number of requests that have no final answer yet. */
  get underWay(): number {
    return this.#underWay;
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

  async #forward(
    request: callerRequest.CallerRequest,
    sink: callerRequest.AnswerSink,
  ): Promise<void> {
    const { configuration, maxProofAgeMilliseconds, logger } = this.parameters;
    const view = this.#currentView();
    const proofAge = this.parameters.proofAge();
    const admitted = admitRequest.admitRequest({
      request,
      view,
      proofAge,
      maxProofAgeMilliseconds,
    });
    const facts = {
      request: request.identifier,
      version: configuration.version,
      age: Math.round(proofAge),
    };
    switch (admitted.kind) {
      case "refused": {
        const { kind, reason } = admitted.refusal;
        this.parameters.metrics.count(common.Metric.Refusals, { reason });
        const code = common.EventCode.ForwardRefused;
        const delivered = await sink.refuse(admitted.refusal);
        logger.event(code, { ...facts, kind, reason, delivered });
        return;
      }
      case "admitted": {
        const { route, account, urgency } = admitted;
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
        logger.event(common.EventCode.Forwarded, {
          ...facts,
          spentBefore: Math.round(spentBefore),
          ...outcome,
        });
      }
    }
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
