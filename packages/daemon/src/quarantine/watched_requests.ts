import * as common from "@geraniumkeel/common";

/** What the quarantine needs of a request that is under way at this entry. */
export interface WatchedRequest {
  service: string;
  /** Fingerprint of the request's content; computed at its first use. */
  readonly fingerprint: string;
  /**
   * Stops the attempt that is under way, unless the caller has received a part
   * of its answer.
   */
  stop(): void;
}

/**
 * Shortest time from the start of one trial to the start of the next. It
 * matters for a trial that shows nothing because its runner had no room or its
 * caller disconnected: without it, each request that arrives would start
 * another trial.
 */
const MIN_TRIAL_INTERVAL_MILLISECONDS = 10_000;

interface Trial {
  request: WatchedRequest;
  startedAt: number;
}

/**
 * Requests that are under way at this entry, and trials of quarantined
 * requests.
 */
export class WatchedRequests {
  readonly #underWay = new Set<WatchedRequest>();
  /** By fingerprint, the last trial. */
  readonly #trials = new Map<string, Trial>();

  /**
   * Watches a request that is under way, until the returned function is called.
   */
  watch(request: WatchedRequest): () => void {
    this.#underWay.add(request);
    return () => this.#underWay.delete(request);
  }

  /** Stops all requests under way for a service that have this fingerprint. */
  stop(service: string, fingerprint: string): void {
    for (const request of this.#underWay) {
      if (request.service !== service) continue;
      if (request.fingerprint === fingerprint) request.stop();
    }
  }

  /**
   * Whether a trial of a request with this fingerprint is under way, or started
   * less than `MIN_TRIAL_INTERVAL_MILLISECONDS` ago.
   */
  hasTrial(fingerprint: string): boolean {
    const trial = this.#trials.get(fingerprint);
    if (!trial) return false;
    if (this.#underWay.has(trial.request)) return true;
    return common.now() - trial.startedAt < MIN_TRIAL_INTERVAL_MILLISECONDS;
  }

  /**
   * Whether the last trial of this fingerprint was started with this request
   * object, and not with another one that has the same fingerprint.
   */
  isTrialRequest(request: WatchedRequest): boolean {
    return this.#trials.get(request.fingerprint)?.request === request;
  }

  /** Starts a trial, which lasts while the request is under way. */
  startTrial(request: WatchedRequest): void {
    const trial = { request, startedAt: common.now() };
    this.#trials.set(request.fingerprint, trial);
  }

  /** Removes the trial of a request that was released from quarantine. */
  forgetTrial(fingerprint: string): void {
    this.#trials.delete(fingerprint);
  }
}
