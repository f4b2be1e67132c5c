import * as answerTimer from "./answer_timer.ts";

/**
 * Share of a route's gap, and of its objective, by which the times of a runner
 * may exceed those of other runners. The rest is left for the network and for
 * variation between requests.
 */
const ALLOWED_SHARE = 0.5;
/**
 * Weight of the newest part in the averages of a runner. A part that comes
 * later by less than three times the allowed excess, as after one lost packet,
 * does not make a runner slow.
 */
const NEWEST_PART_WEIGHT = 0.3;
/**
 * Upper bound of the excess of one part, in multiples of the allowed excess.
 * One part at this bound makes a runner slow, and after any number of them four
 * parts in time show that it has recovered.
 */
const MAX_EXCESS = 4;
/**
 * At most one in this number of requests of a service is sent as a probe to
 * its slow runners. Answers to probes are mostly late, so that at
 * most a tenth of the requests are late for this reason.
 */
const REQUESTS_PER_PROBE = 10;
/**
 * Time in which the excess of a runner halves while no answer of it is awaited.
 * From its upper bound the excess falls to the allowed one in two half-lives.
 * With probes alone a recovery would take 53 s at 0.75 requests a second, and
 * would never happen without traffic.
 */
const EXCESS_HALF_LIFE_MILLISECONDS = 1_000;
/**
 * For how long the slow runners of a service are not determined again. Each time
 * compares every awaited answer with all others: with 400 streams open at a
 * group that stands still, millions of steps.
 */
const SLOW_SET_LIFETIME_MILLISECONDS = 25;

/** What the answers of one runner say about its speed. */
class RunnerSlowness {
  /** Decaying averages of the time that each part of an answer takes. */
  readonly averages = new Map<answerTimer.AnswerPart, number>();
  /**
   * Decaying average of the time by which parts exceeded those of other
   * runners, in multiples of the allowed excess.
   */
  excess = 0;
  /** Up to when the excess has decayed, by the monotonic clock. */
  decayedAt = -Infinity;
  /** Whether the last choice found the runner slow. */
  wasSlow = false;
  /** When the last event arrived that was not slow. */
  onTimeAt = -Infinity;
  /** Timers of the answers in progress. */
  readonly timers = new Set<answerTimer.AnswerTimer>();

  constructor(readonly service: string) {}

  /** Lets the excess decay up to a time, unless an answer is awaited. */
  decay(now: number): void {
    if (this.timers.size === 0) {
      const halvings = (now - this.decayedAt) / EXCESS_HALF_LIFE_MILLISECONDS;
      this.excess *= 0.5 ** halvings;
    }
    this.decayedAt = now;
  }

  /** The excess, if the next part had the given one. */
  excessWith(excess: number): number {
    return this.excess + NEWEST_PART_WEIGHT * (excess - this.excess);
  }

  noteTime(part: answerTimer.AnswerPart, milliseconds: number): void {
    const average = this.averages.get(part) ?? milliseconds;
    this.averages.set(
      part,
      average + NEWEST_PART_WEIGHT * (milliseconds - average),
    );
  }
}

/** What timing an answer needs to know of its request and runner. */
export interface TimedRequest {
  runner: { identifier: string; service: string };
  route: answerTimer.AnswerTimer["parameters"]["route"];
  hadFreeSlot: boolean;
}

/**
 * Finds out from this entry's own answers which runners are much slower than
 * the others of their service, and when they have recovered.
 */
export class SlowRunners {
  readonly #runners = new Map<string, RunnerSlowness>();
  /**
   * Requests of each service since the last probe, or since it has slow runners.
   */
  readonly #sinceProbe = new Map<string, number>();
  /**
   * Services in lock-step some of whose ranks are slow, and when this entry
   * noticed the first of them.
   */
  readonly #slowSince = new Map<string, number>();
  /** Slow runners of each service, and when they were determined. */
  readonly #slowSets = new Map<string, { slow: Set<string>; at: number }>();

  constructor(
    readonly parameters: {
      /** Monotonic milliseconds in which this process read answers. */
      now: () => number;
      /**
       * Monotonic milliseconds that also count while no answer is read. `now`
       * stands still without traffic.
       */
      monotonicNow: () => number;
      /** Whether the runners of a service run in lock-step, in groups. */
      inLockStep: (service: string) => boolean;
      /**
       * Called when a choice first finds a runner slow or no longer so, and when
       * a slow runner is forgotten.
       */
      onChange: (identifier: string, isSlow: boolean) => void;
    },
  ) {}

  /** Starts to time the answer to a request that is about to be sent. */
  time({ runner, route, hadFreeSlot }: TimedRequest): answerTimer.AnswerTimer {
    const { identifier, service } = runner;
    const slowness =
      this.#runners.get(identifier) ?? new RunnerSlowness(service);
    this.#runners.set(identifier, slowness);
    const timer = new answerTimer.AnswerTimer({
      route,
      hadFreeSlot,
      now: this.parameters.now,
      onPart: (time) => this.#notePart(slowness, timer, time),
      onEnd: (awaited) => {
        if (awaited) this.#noteGivenUp(slowness, timer, awaited);
        slowness.decay(this.parameters.monotonicNow());
        slowness.timers.delete(timer);
      },
    });
    slowness.decay(this.parameters.monotonicNow());
    slowness.timers.add(timer);
    return timer;
  }

  /** Forgets a runner that is gone or has restarted. */
  forget(identifier: string): void {
    const slowness = this.#runners.get(identifier);
    this.#runners.delete(identifier);
    if (slowness) this.#slowSets.get(slowness.service)?.slow.delete(identifier);
    if (slowness?.wasSlow) this.parameters.onChange(identifier, false);
  }

  /** Whether a runner is much slower than the others of its service. */
  isSlow(identifier: string): boolean {
    const slowness = this.#runners.get(identifier);
    return slowness !== undefined && this.#currentExcess(slowness) > 1;
  }

  /**
   * Returns a function that tells whether a runner of a service is to get
   * requests only if the others are full. `isCandidate` tells which runners may
   * get requests now.
   */
  avoidance(
    service: string,
    isCandidate: (identifier: string) => boolean,
  ): (identifier: string) => boolean {
    const slow = this.#slowRunnersOf(service);
    if (slow.size === 0) this.#slowSince.delete(service);
    if (slow.size === 0 || !this.parameters.inLockStep(service))
      return (identifier) => slow.has(identifier);
    // A slow rank that gets no requests anyway, such as one in an evacuated data
    // centre, must not keep them from other groups.
    const hasSlowCandidate = [...slow].some(isCandidate);
    const since = this.#slowSince.get(service) ?? this.parameters.now();
    this.#slowSince.set(service, since);
    const fast = new Set<string>();
    for (const [identifier, slowness] of this.#runners) {
      if (slowness.service !== service || slow.has(identifier)) continue;
      if (slowness.onTimeAt > since && isCandidate(identifier))
        fast.add(identifier);
    }
    // A rank not heard from since then may be in the slow group. If requests
    // had to find that out, each entry would lose one for each rank of it.
    return (identifier) =>
      hasSlowCandidate && fast.size > 0
        ? !fast.has(identifier)
        : slow.has(identifier);
  }

  /**
   * Returns the avoided runners of a service one of which is to get the next
   * request as a probe; none if no probe is due. A runner with a request in
   * progress from this entry needs no probe: the answer will show whether it is
   * slow. In lock-step, one rank shows it for its group.
   */
  probeTargets(service: string, avoided: readonly string[]): string[] {
    if (avoided.length === 0) {
      this.#sinceProbe.delete(service);
      return [];
    }
    const sinceProbe = (this.#sinceProbe.get(service) ?? 0) + 1;
    this.#sinceProbe.set(service, sinceProbe);
    const idle = avoided.filter(
      (identifier) => (this.#runners.get(identifier)?.timers.size ?? 0) === 0,
    );
    const observesGroup =
      this.parameters.inLockStep(service) && idle.length < avoided.length;
    if (observesGroup || idle.length === 0) return [];
    if (sinceProbe < REQUESTS_PER_PROBE) return [];
    this.#sinceProbe.set(service, 0);
    return idle;
  }

  #slowRunnersOf(service: string): ReadonlySet<string> {
    const now = this.parameters.monotonicNow();
    const known = this.#slowSets.get(service);
    if (known && now - known.at < SLOW_SET_LIFETIME_MILLISECONDS)
      return known.slow;
    const slow = new Set<string>();
    this.#slowSets.set(service, { slow, at: now });
    for (const [identifier, slowness] of this.#runners) {
      if (slowness.service !== service) continue;
      const isSlow = this.#currentExcess(slowness) > 1;
      if (isSlow) slow.add(identifier);
      if (isSlow !== slowness.wasSlow)
        this.parameters.onChange(identifier, isSlow);
      slowness.wasSlow = isSlow;
    }
    return slow;
  }

  #notePart(
    slowness: RunnerSlowness,
    timer: answerTimer.AnswerTimer,
    time: answerTimer.PartTime,
  ): void {
    const wasSlow = slowness.excess > 1;
    const excess = this.#excessOf(slowness, timer, time);
    if (excess !== undefined) slowness.excess = slowness.excessWith(excess);
    const isEvent = time.part === answerTimer.AnswerPart.Event;
    if (isEvent && excess !== undefined && excess <= 1)
      slowness.onTimeAt = time.to;
    if (isComparable(timer, time)) {
      slowness.noteTime(time.part, time.to - time.from);
    }
    if (wasSlow && slowness.excess <= 1) this.#noteRecovery(slowness);
  }

  /** Notes a part that did not arrive; it would have taken longer still. */
  #noteGivenUp(
    slowness: RunnerSlowness,
    timer: answerTimer.AnswerTimer,
    time: answerTimer.PartTime,
  ): void {
    const excess = this.#excessOf(slowness, timer, time) ?? 0;
    slowness.excess = Math.max(slowness.excess, slowness.excessWith(excess));
  }

  /**
   * Lets the ranks of a service in lock-step that this entry does not observe
   * recover together with one that has. All ranks of its group recover at the
   * same time. A rank of another group that is still slow shows it in its next
   * answer.
   */
  #noteRecovery({ service }: RunnerSlowness): void {
    if (!this.parameters.inLockStep(service)) return;
    for (const slowness of this.#runners.values()) {
      if (slowness.service === service && slowness.timers.size === 0)
        slowness.excess = 0;
    }
  }

  /** Excess of a runner, with the parts that it has not sent yet. */
  #currentExcess(slowness: RunnerSlowness): number {
    slowness.decay(this.parameters.monotonicNow());
    let highest = slowness.excess;
    for (const timer of slowness.timers) {
      const { awaited } = timer;
      const excess = awaited && this.#excessOf(slowness, timer, awaited);
      if (excess === undefined) continue;
      highest = Math.max(highest, slowness.excessWith(excess));
    }
    return highest;
  }

  /**
   * By how much a part took longer than at other runners, in multiples of the
   * allowed excess; `undefined` if nothing can be compared.
   */
  #excessOf(
    slowness: RunnerSlowness,
    timer: answerTimer.AnswerTimer,
    time: answerTimer.PartTime,
  ): number | undefined {
    const allowed = allowedExcess(timer, time.part);
    if (allowed <= 0 || !isComparable(timer, time)) return undefined;
    const inLockStep = this.parameters.inLockStep(slowness.service);
    if (inLockStep && time.part !== answerTimer.AnswerPart.Event)
      return undefined;
    const milliseconds = time.to - time.from;
    if (milliseconds <= allowed) return 0;
    const usual = inLockStep
      ? this.#fastestMeanwhile(slowness, time)
      : this.#medianOfOthers(slowness, time.part);
    if (usual === undefined) return undefined;
    const excess = (milliseconds - usual) / allowed;
    return Math.min(MAX_EXCESS, Math.max(0, excess));
  }

  /**
   * Shortest mean time between events of streams at other runners of a service
   * in lock-step, in the same period. All ranks of a group are as fast as the
   * slowest one, and a group may stand still for a second. So only events that
   * other runners sent in the meantime show that there is a faster group; events
   * from before, which averages contain, do not.
   */
  #fastestMeanwhile(
    slowness: RunnerSlowness,
    { from, to }: answerTimer.PartTime,
  ): number | undefined {
    let fastest: number | undefined;
    for (const other of this.#runners.values()) {
      if (other === slowness || other.service !== slowness.service) continue;
      for (const timer of other.timers) {
        const mean = timer.meanEventTime(from, to);
        if (mean === undefined) continue;
        fastest = Math.min(fastest ?? Infinity, mean);
      }
    }
    return fastest;
  }

  /** Median of the average times of a part at the other runners. */
  #medianOfOthers(
    slowness: RunnerSlowness,
    part: answerTimer.AnswerPart,
  ): number | undefined {
    const averages: number[] = [];
    for (const other of this.#runners.values()) {
      if (other === slowness || other.service !== slowness.service) continue;
      const average = other.averages.get(part);
      if (average !== undefined) averages.push(average);
    }
    averages.sort((left, right) => left - right);
    return averages[Math.floor((averages.length - 1) / 2)];
  }
}

/** Time by which a part may take longer than at other runners. */
function allowedExcess(
  timer: answerTimer.AnswerTimer,
  part: answerTimer.AnswerPart,
): number {
  const { gapMilliseconds, objectiveMilliseconds } = timer.parameters.route;
  switch (part) {
    case answerTimer.AnswerPart.Event:
      return gapMilliseconds * ALLOWED_SHARE;
    case answerTimer.AnswerPart.FirstEvent:
    case answerTimer.AnswerPart.Whole:
      return objectiveMilliseconds * ALLOWED_SHARE;
  }
}

/** Whether the time of a part says something about the speed of the runner. */
function isComparable(
  timer: answerTimer.AnswerTimer,
  { part }: answerTimer.PartTime,
): boolean {
  return part === answerTimer.AnswerPart.Event || timer.parameters.hadFreeSlot;
}
