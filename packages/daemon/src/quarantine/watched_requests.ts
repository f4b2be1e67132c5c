/** A request on its way, as far as the quarantine needs it. */
export interface WatchedRequest {
  service: string;
  /** Name of the request by what it asks for; worked out when it is asked for. */
  readonly fingerprint: string;
  /** Ends the attempt under way, unless the caller has some of its answer. */
  stop(): void;
}

/** Requests under way at this entry, and those among them that are on trial. */
export class WatchedRequests {
  readonly #underWay = new Set<WatchedRequest>();
  /** Requests on trial, by fingerprint. */
  readonly #trials = new Map<string, WatchedRequest>();

  /** Watches a request while it is under way; the returned function ends that. */
  watch(request: WatchedRequest): () => void {
    this.#underWay.add(request);
    return () => {
      this.#underWay.delete(request);
      for (const [fingerprint, tried] of this.#trials) {
        if (tried === request) this.#trials.delete(fingerprint);
      }
    };
  }

  /** Stops all requests under way that ask for the same. */
  stop(service: string, fingerprint: string): void {
    for (const request of this.#underWay) {
      if (request.service !== service) continue;
      if (request.fingerprint === fingerprint) request.stop();
    }
  }

  /** Whether one that asks for this is on trial. */
  hasTrial(fingerprint: string): boolean {
    return this.#trials.has(fingerprint);
  }

  /** Whether this very request is on trial. */
  isOnTrial(request: WatchedRequest): boolean {
    return this.#trials.get(request.fingerprint) === request;
  }

  /** Puts a request on trial for as long as it is under way. */
  beginTrial(request: WatchedRequest): void {
    this.#trials.set(request.fingerprint, request);
  }
}
