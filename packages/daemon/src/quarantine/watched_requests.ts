import * as common from "@geraniumkeel/common";
import * as partKey from "./part_key.ts";

/** What the quarantine needs of a request that is under way at this entry. */
export interface WatchedRequest {
  service: string;
  /** Fingerprint of the request's content; computed at its first use. */
  readonly fingerprint: string;
  /** Parts of its prompt that other requests may share. */
  readonly promptParts: readonly string[];
  /**
   * Stops the attempt that is under way, unless the caller has received a part
   * of its answer.
   */
  stop(): void;
}

/**
 * Returns the keys by which a request may be quarantined: those of its parts,
 * and its fingerprint.
 */
export function keysOf(request: WatchedRequest): string[] {
  const { service, promptParts, fingerprint } = request;
  const parts = promptParts.map((part) => partKey.partKey(service, part));
  return [...parts, fingerprint];
}

/** Whether a request has a key. */
function hasKey(request: WatchedRequest, key: string): boolean {
  if (!partKey.isPartKey(key)) return request.fingerprint === key;
  const { service, promptParts } = request;
  return promptParts.some((part) => partKey.partKey(service, part) === key);
}

/**
 * Shortest time from the start of the first trial to the start of the next. It
 * matters for a trial that shows nothing because its runner had no room or its
 * caller disconnected: without it, each request that arrives would start
 * another trial.
 */
const MIN_TRIAL_INTERVAL_MILLISECONDS = 10_000;
/**
 * How many times as long each further interval is. While a service is short of
 * room, trials reach runners and show nothing, one after the other.
 */
const TRIAL_INTERVAL_GROWTH = 3;

interface Trial {
  request: WatchedRequest;
  startedAt: number;
  /** Time from its start to the start of the next. */
  intervalMilliseconds: number;
}

/**
 * Requests that are under way at this entry, and trials of quarantined
 * requests.
 */
export class WatchedRequests {
  readonly #underWay = new Set<WatchedRequest>();
  /** By key, the last trial. */
  readonly #trials = new Map<string, Trial>();

  /**
   * Watches a request that is under way, until the returned function is called.
   */
  watch(request: WatchedRequest): () => void {
    this.#underWay.add(request);
    return () => this.#underWay.delete(request);
  }

  /** Stops all requests under way for a service that have this key. */
  stop(service: string, key: string): void {
    for (const request of this.#underWay) {
      if (request.service !== service) continue;
      if (hasKey(request, key)) request.stop();
    }
  }

  /**
   * Whether a trial of a request with this key is under way, or started too
   * short a time ago for another one.
   */
  hasTrial(key: string): boolean {
    const trial = this.#trials.get(key);
    if (!trial) return false;
    if (this.#underWay.has(trial.request)) return true;
    return common.now() - trial.startedAt < trial.intervalMilliseconds;
  }

  /**
   * Whether the last trial of this key was started with this request object,
   * and not with another one that has the same key.
   */
  isTrialRequest(request: WatchedRequest, key = request.fingerprint): boolean {
    return this.#trials.get(key)?.request === request;
  }

  /** Starts a trial of a key, which lasts while the request is under way. */
  startTrial(request: WatchedRequest, key = request.fingerprint): void {
    const previous = this.#trials.get(key)?.intervalMilliseconds;
    const intervalMilliseconds = previous
      ? previous * TRIAL_INTERVAL_GROWTH
      : MIN_TRIAL_INTERVAL_MILLISECONDS;
    const startedAt = common.now();
    this.#trials.set(key, { request, startedAt, intervalMilliseconds });
  }

  /** Removes the trial of a key that was released from quarantine. */
  forgetTrial(key: string): void {
    this.#trials.delete(key);
  }
}
