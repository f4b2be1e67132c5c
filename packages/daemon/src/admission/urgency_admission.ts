import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import type * as runnerTracker from "../forwarding/runner_tracker.ts";
import * as expectedDurations from "./expected_durations.ts";
import * as peerLoads from "./peer_loads.ts";
import * as urgencyQueue from "./urgency_queue.ts";

/**
 * How often waiting requests are checked if no runner's state changes. Refusals
 * are to be sent within 50 ms.
 */
const CHECK_INTERVAL_MILLISECONDS = 25;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** The parts of the runner tracker that admission uses. */
export type AdmissionTracker = Pick<
  runnerTracker.RunnerTracker,
  | "availabilityChanged"
  | "candidates"
  | "firstRestEnd"
  | "hasGroupRefused"
  | "hasRefusing"
  | "isRefusing"
  | "isStalled"
  | "nextWithinRateLimit"
>;

/** What admission by urgency is created with. */
export interface UrgencyAdmissionParameters {
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
  tracker: AdmissionTracker;
  /** Number of known entries, including this one. */
  entryCount: () => number;
  metrics: common.Metrics;
  clock?: () => number;
  /** Called with an exception while waiting requests were let in. */
  onFailure: (cause: unknown) => void;
}

/**
 * Admission of requests at this entry for the services that routes of several
 * urgencies share in the configuration. Requests for other services are not
 * subject to it.
 */
export class UrgencyAdmission {
  readonly #queues = new Map<string, urgencyQueue.UrgencyQueue>();
  readonly #peers: peerLoads.PeerLoads;
  /** Queues whose waiting requests are being checked. */
  readonly #checked = new Set<urgencyQueue.UrgencyQueue>();
  #configuration: traffic.TrafficConfiguration | undefined;
  /** Shortest objective of each managed service, in milliseconds. */
  #services: ReadonlyMap<string, number> = new Map();

  constructor(readonly parameters: UrgencyAdmissionParameters) {
    const { entryCount } = parameters;
    this.#peers = new peerLoads.PeerLoads({ clock: this.#clock, entryCount });
  }

  /** Queue of a service; `undefined` if admission does not apply to it. */
  queueOf(service: string): urgencyQueue.UrgencyQueue | undefined {
    if (!this.#managedServices().has(service)) return undefined;
    const existing = this.#queues.get(service);
    if (existing) return existing;
    const created = new urgencyQueue.UrgencyQueue({
      service,
      clock: this.#clock,
      capacity: () => this.#capacityOf(service),
      shortestObjectiveMilliseconds: () =>
        this.#managedServices().get(service) ?? 0,
      expectedDurations: () => this.#expectedDurationsOf(service),
      peers: this.#peers,
    });
    this.#queues.set(service, created);
    return created;
  }

  /**
   * Asks for a place for a request. While requests wait, their queue is checked
   * whenever a runner's state changes.
   */
  enter(
    queue: urgencyQueue.UrgencyQueue,
    request: urgencyQueue.EnteringRequest,
  ): urgencyQueue.AdmissionOutcome | Promise<urgencyQueue.AdmissionOutcome> {
    const entered = queue.enter(request);
    if (entered instanceof Promise) void this.#checkWhileWaiting(queue);
    return entered;
  }

  /** Counts the outcome of a request that asked for a place. */
  countOutcome(service: string, urgency: number, outcome: string): void {
    this.parameters.metrics.count(common.Metric.AdmissionDecisions, {
      service,
      urgency: String(urgency),
      outcome,
    });
  }

  /** Applies the report of another entry. */
  receive(message: wire.MeshLoad, host: string): void {
    this.#peers.receive(message, host);
  }

  /**
   * Begins a new report interval and returns the message for the other entries;
   * `undefined` if admission applies to no service.
   */
  report(): wire.MeshLoad | undefined {
    const managed = this.#managedServices();
    for (const [service, queue] of this.#queues) {
      if (!managed.has(service) && queue.length === 0)
        this.#queues.delete(service);
    }
    if (managed.size === 0) return undefined;
    const services = [...managed.keys()]
      .slice(0, wire.MAX_REPORTED_SERVICES)
      .flatMap((service) => this.queueOf(service)?.report() ?? []);
    for (const queue of this.#queues.values()) this.#recordGauges(queue);
    return { kind: wire.MessageKind.MeshLoad, services };
  }

  /** Admission's part of the state dump. */
  describe(): unknown {
    return {
      services: [...this.#queues.values()].map((queue) => queue.describe()),
      knownShare: this.#peers.knownShare,
      reportAges: this.#peers.describe(),
    };
  }

  get #clock(): () => number {
    return this.parameters.clock ?? common.now;
  }

  #recordGauges(queue: urgencyQueue.UrgencyQueue): void {
    const { metrics } = this.parameters;
    const { service, capacity, urgencies } = queue.describe();
    metrics.gauge(common.Metric.AdmissionCapacity, capacity, { service });
    for (const { urgency, waiting } of urgencies) {
      const tags = { service, urgency: String(urgency) };
      metrics.gauge(common.Metric.AdmissionWaiting, waiting, tags);
    }
  }

  async #checkWhileWaiting(queue: urgencyQueue.UrgencyQueue): Promise<void> {
    if (this.#checked.has(queue)) return;
    this.#checked.add(queue);
    const { availabilityChanged } = this.parameters.tracker;
    while (queue.length > 0) {
      await availabilityChanged.next(CHECK_INTERVAL_MILLISECONDS);
      try {
        queue.letIn();
      } catch (cause) {
        // The requests that wait are tried again, and leave by their deadlines.
        this.parameters.onFailure(cause);
      }
    }
    this.#checked.delete(queue);
  }

  /** Services that routes of several urgencies share, with the shortest objective. */
  #managedServices(): ReadonlyMap<string, number> {
    const { value } = this.parameters.configuration;
    if (value && value !== this.#configuration) {
      this.#configuration = value;
      this.#services = sharedServices(value.routes);
    }
    return this.#services;
  }

  #expectedDurationsOf(
    service: string,
  ): expectedDurations.Durations | undefined {
    const services = this.#configuration?.services ?? [];
    const found = services.find(({ name }) => name === service);
    return expectedDurations.expectedDurations(found?.engine);
  }

  #capacityOf(service: string): urgencyQueue.ServiceCapacity {
    const { tracker } = this.parameters;
    const views = tracker.candidates(service, NONE_TRIED);
    const responsive = views.filter(({ suspended }) => !suspended);
    // A lock-step group in which one runner seems to stall has all runners
    // suspended that sent nothing lately. If any is responsive, the group runs,
    // and only those that have stalled themselves are no capacity.
    const hasGroupRefused = tracker.hasGroupRefused(service);
    const isStanding = responsive.length === 0 || hasGroupRefused;
    const runners = views.filter(
      ({ identifier }) =>
        !isStanding &&
        !tracker.isRefusing(identifier) &&
        !tracker.isStalled(identifier),
    );
    const mayReturn = () =>
      views.length > 0 ||
      tracker.hasRefusing(service) ||
      tracker.firstRestEnd(service) !== undefined ||
      tracker.nextWithinRateLimit(service, NONE_TRIED) !== undefined;
    return {
      runners,
      mayReturn: runners.length > 0 || mayReturn(),
      mayProbe: responsive.some(
        ({ identifier }) => hasGroupRefused || tracker.isRefusing(identifier),
      ),
    };
  }
}

/**
 * Services that routes with different urgencies send requests to, with the
 * shortest objective of these routes.
 */
function sharedServices(routes: traffic.Route[]): Map<string, number> {
  const urgencies = new Map<string, Set<number>>();
  const objectives = new Map<string, number>();
  for (const { urgency, objectiveMilliseconds, shares } of routes) {
    for (const { service, weight } of shares) {
      if (weight <= 0) continue;
      const known = urgencies.get(service) ?? new Set();
      urgencies.set(service, known.add(urgency));
      const shortest = objectives.get(service) ?? Infinity;
      objectives.set(service, Math.min(shortest, objectiveMilliseconds));
    }
  }
  for (const [service, values] of urgencies) {
    if (values.size === 1) objectives.delete(service);
  }
  return objectives;
}
