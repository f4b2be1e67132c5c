import type * as traffic from "@geraniumkeel/traffic";
import type * as silenceClock from "./silence_clock.ts";

/** Time in which the failure share halves if no answers arrive. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_000;

/**
 * Time without a message after which a runner with requests in progress counts
 * as stalled. All ranks of a group run each iteration together, in 25 to 100
 * ms, and with every iteration some request there gets its next event. When one
 * rank is lost, all ranks of the group stop and send nothing for one to two
 * seconds.
 */
const STALL_TIMEOUT_MILLISECONDS = 600;

/** What this entry knows about one runner. */
export class RunnerRecord {
  /** Requests in progress from this entry. */
  own = 0;
  /** Those of them whose answers are not read, as their callers are slow. */
  unread = 0;
  /**
   * When the last message for a request there arrived, or, if that is later,
   * when this entry began to wait for the runner; by the silence clock.
   */
  progressAt = 0;
  /** When the last message for a request there arrived. */
  lastReceivedAt = -Infinity;
  failureShare = 0;
  failureShareUpdatedAt = 0;
  suspendedUntil = 0;
  /**
   * The runner refused a request although it had room, and has accepted none
   * since.
   */
  refusing = false;
  /** When the runner last refused a request although it had room. */
  refusedAt = -Infinity;
  /** Until when a refusing runner gets no probe. */
  avoidUntil = 0;

  constructor(
    public entry: traffic.RunnerEntry,
    readonly clock: silenceClock.SilenceClock,
  ) {}

  /** Requests in progress for which this entry waits for the runner. */
  get awaited(): number {
    return this.own - this.unread;
  }

  /** Whether the runner is waited for and none of its requests gets on. */
  get isStalled(): boolean {
    const silence = this.clock.now() - this.progressAt;
    return this.awaited > 0 && silence > STALL_TIMEOUT_MILLISECONDS;
  }

  /** Whether the runner should get no new requests for now. */
  isSuspended(now: number): boolean {
    return this.suspendedUntil > now || this.isStalled;
  }

  /** Whether the runner has sent nothing for the stall timeout. */
  isUnresponsive(now: number): boolean {
    return now - this.lastReceivedAt > STALL_TIMEOUT_MILLISECONDS;
  }

  /** Share of the runner's answers that failed; decays over time. */
  currentFailureShare(now: number): number {
    const halvings =
      (now - this.failureShareUpdatedAt) / FAILURE_HALF_LIFE_MILLISECONDS;
    return this.failureShare * 0.5 ** halvings;
  }
}
