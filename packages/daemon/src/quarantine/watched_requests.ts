import * as common from "@geraniumkeel/common";

/** A request on its way, as far as the quarantine needs it. */
export interface WatchedRequest {
  service: string;
  /** Name of the request by what it asks for; worked out when it is asked for. */
  readonly fingerprint: string;
  /** Ends the attempt under way, unless the caller has some of its answer. */
  stop(): void;
}

/**
 * Time from the beginning of one trial to the next, in milliseconds, if it shows nothing:
 * its runner had no room, or its caller left.
 */
const MIN_TRIAL_INTERVAL_MILLISECONDS = 10_000;

interface Trial {
  request: WatchedRequest;
  startedAt: number;
}

/** Requests under way at this entry, and those among them that are on trial. */
export class WatchedRequests {
  readonly #underWay = new Set<WatchedRequest>();
  /** The last trial of each fingerprint. */
  readonly #trials = new Map<string, Trial>();

  /** Watches a request while it is under way; the returned function ends that. */
  watch(request: WatchedRequest): () => void {
    this.#underWay.add(request);
    return () => this.#underWay.delete(request);
  }

  /** Stops all requests under way that ask for the same. */
  stop(service: string, fingerprint: string): void {
    for (const request of this.#underWay) {
      if (request.service !== service) continue;
      if (request.fingerprint === fingerprint) request.stop();
    }
  }

  /** Whether one that asks for this is on trial, or was just now. */
  hasTrial(fingerprint: string): boolean {
    const trial = this.#trials.get(fingerprint);
    if (!trial) return false;
    if (this.#underWay.has(trial.request)) return true;
    return common.now() - trial.startedAt < MIN_TRIAL_INTERVAL_MILLISECONDS;
  }

  /** Whether this very request is on trial. */
  isOnTrial(request: WatchedRequest): boolean {
    return this.#trials.get(request.fingerprint)?.request === request;
  }

  /** Puts a request on trial for as long as it is under way. */
  startTrial(request: WatchedRequest): void {
    const trial = { request, startedAt: common.now() };
    this.#trials.set(request.fingerprint, trial);
  }

  /** Forgets the trial of a request that is held no more. */
  forgetTrial(fingerprint: string): void {
    this.#trials.delete(fingerprint);
  }
}
