import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as rateLimitPermit from "../rate_limit/rate_limit_permit.ts";
import type * as rateLimitsModule from "../rate_limit/rate_limits.ts";
import type * as runnerTracker from "./runner_tracker.ts";

/** A runner for one attempt of a request, or why there is none. */
export type ObtainedRunner =
  | {
      kind: "runner";
      runner: traffic.RunnerEntry;
      permit: rateLimitPermit.RateLimitPermit;
      /** How long the request waited; `undefined` if no rate limit decided. */
      trace: rateLimitsModule.RateLimitTrace | undefined;
    }
  /** The runner that was chosen is at its rate limit; choose again. */
  | { kind: "retry" }
  /** No runner may get the request, whether it waits or not. */
  | { kind: "none" }
  /** Only runners at their rate limits are left, and the wait is too long. */
  | {
      kind: "at-limit";
      runner: traffic.RunnerEntry;
      waitMilliseconds: number;
      trace: rateLimitsModule.RateLimitTrace | undefined;
    };

/** What finding a runner needs. */
export interface ObtainRunnerParameters {
  service: string;
  /** Runners that the request does not go to. */
  tried: ReadonlySet<string>;
  tracker: runnerTracker.RunnerTracker;
  rateLimits: rateLimitsModule.RateLimits;
}

/**
 * Chooses a runner and asks for a permit to send to it, without waiting for a
 * rate limit. Prefers runners with room within their limits to all others.
 */
export function obtainRunner(
  parameters: ObtainRunnerParameters,
): ObtainedRunner | Promise<ObtainedRunner> {
  const { service, tried, tracker, rateLimits } = parameters;
  const runner = tracker.choose(service, tried);
  if (!runner) return { kind: "none" };
  const admission = rateLimits.admit(runner, 0);
  const obtained = (
    settled: rateLimitsModule.RateLimitAdmission,
  ): ObtainedRunner => {
    if (settled.kind === "denied" || !tracker.mayReceive(runner))
      return { kind: "retry" };
    const { permit } = settled;
    return { kind: "runner", runner, permit, trace: undefined };
  };
  return admission instanceof Promise
    ? admission.then(obtained)
    : obtained(admission);
}

/**
 * Waits for the rate limit of a runner if the request's turn comes within
 * `maxDelayMilliseconds`. The turn is reserved, so that requests are sent in
 * the order in which they came. A request whose turn comes later is refused at
 * once: waiting would not help it.
 */
export async function awaitRateLimit(
  parameters: ObtainRunnerParameters & {
    maxDelayMilliseconds: number;
    signal: AbortSignal;
  },
): Promise<ObtainedRunner> {
  const { service, tried, tracker, rateLimits } = parameters;
  const { maxDelayMilliseconds, signal } = parameters;
  const latest = common.now() + maxDelayMilliseconds;
  while (!signal.aborted) {
    const next = tracker.nextWithinRateLimit(service, tried);
    if (!next) return { kind: "none" };
    const { runner, waitMilliseconds } = next;
    const trace = rateLimits.trace(runner, waitMilliseconds);
    const remaining = latest - common.now();
    if (waitMilliseconds > remaining)
      return { kind: "at-limit", runner, waitMilliseconds, trace };
    const admission = await rateLimits.admit(runner, remaining);
    if (admission.kind === "denied") {
      // The allocator may have refused for want of shares, which may change.
      const { waitMilliseconds: pause } = admission;
      if (pause <= remaining) await common.sleep(pause, signal);
      continue;
    }
    const { permit } = admission;
    const remainingMilliseconds = permit.remainingMilliseconds();
    await common.sleep(remainingMilliseconds, signal);
    if (!tracker.mayReceive(runner)) return { kind: "retry" };
    const waited = rateLimits.trace(runner, remainingMilliseconds);
    return { kind: "runner", runner, permit, trace: waited };
  }
  return { kind: "none" };
}
