import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as runnerCrash from "../quarantine/runner_crash.ts";
import type * as quarantineModule from "../quarantine/quarantine.ts";
import type * as answerSink from "./answer_sink.ts";
import * as outgoingAttempt from "./outgoing_attempt.ts";
import * as request from "./request.ts";
import type * as runnerLink from "./runner_link.ts";

/** Engines do not report the version of their software. */
const UNKNOWN_VERSION = "";

/** An attempt that an entry follows, and what following it needs. */
export interface FollowedAttempt {
  runner: runnerLink.RunnerLink;
  outgoing: outgoingAttempt.OutgoingAttempt;
  accepted: request.AcceptedRequest;
  sink: answerSink.AnswerSink;
  quarantine: quarantineModule.Quarantine;
}

/**
 * Follows one attempt to its outcome and passes its answer on to the caller.
 * The loss of a link is no outcome: the attempt may still be running, and
 * resumes on the next link. Once an attempt was sent, only a message of its
 * runner settles it, that is, shows for certain whether it ran. The entry may
 * also stop following before that: at the deadline, when the caller
 * disconnects, when the request is quarantined, or when it gives the attempt up
 * because the runner is unreachable or was replaced (`Unsettled`).
 */
export async function followAttempt(
  parameters: FollowedAttempt,
): Promise<request.AttemptOutcome> {
  const { runner, outgoing, accepted, sink } = parameters;
  const { attempt, events } = outgoing;
  const { AttemptEventKind } = outgoingAttempt;
  const onCallerGone = () => events.push({ kind: AttemptEventKind.CallerGone });
  accepted.signal.addEventListener("abort", onCallerGone, { once: true });
  if (accepted.signal.aborted) onCallerGone();
  const startedAt = common.now();
  // The quarantine stops a request only if it is repeatable and the caller has
  // received nothing of its answer. Other requests run until they finish.
  accepted.quarantineHandle.onStop = () => {
    if (!accepted.repeatable || sink.delivered) return;
    events.push({ kind: AttemptEventKind.Quarantined });
  };
  const timer = setTimeout(
    () => events.push({ kind: AttemptEventKind.Deadline }),
    Math.max(0, accepted.deadline - common.now()),
  );
  try {
    const outcome = await awaitOutcome(parameters);
    reportToQuarantine(parameters, outcome, startedAt);
    const stopped = hasWorkStopped(outcome);
    // The runner continues after this entry stops following, so the entry
    // cancels a repeatable request there. It lets a non-repeatable request
    // finish: no other attempt may follow, so stopping the work half-way would
    // help nobody.
    if (!stopped && accepted.repeatable) runner.cancel(attempt);
    // The runner retains the answer of a keyed request until the outcome is
    // written to the claim (`OutcomeRecorder` then lets the runner drop it).
    const isKeyed = accepted.idempotencyKey !== undefined;
    runner.close(attempt, stopped && !isKeyed);
    return outcome;
  } finally {
    accepted.quarantineHandle.onStop = undefined;
    clearTimeout(timer);
    accepted.signal.removeEventListener("abort", onCallerGone);
  }
}

/**
 * Reports to the quarantine that a request was answered, or that a runner
 * crashed while it ran the request. `endedLife` and `life` are the incarnation
 * that crashed; `AttemptOutcome` says whose.
 */
function reportToQuarantine(
  { runner, accepted, quarantine }: FollowedAttempt,
  outcome: request.AttemptOutcome,
  startedAt: number,
): void {
  const { identifier, quarantineHandle } = accepted;
  switch (outcome.kind) {
    case request.AttemptOutcomeKind.Complete:
      return quarantine.answered(quarantineHandle, UNKNOWN_VERSION);
    case request.AttemptOutcomeKind.Broken:
    case request.AttemptOutcomeKind.Unsettled: {
      if (!outcome.endedLife) return;
      const { fingerprint, service } = quarantineHandle;
      return quarantine.recordCrash({
        life: outcome.endedLife,
        runner: runner.host.name,
        service,
        version: UNKNOWN_VERSION,
        endedAt: common.now(),
        evidence: runnerCrash.CrashEvidence.Reported,
        runs: [
          {
            request: identifier,
            fingerprint,
            startedAt,
            progress: runnerCrash.RunProgress.Unknown,
            promptParts: [],
          },
        ],
      });
    }
    case request.AttemptOutcomeKind.NeverStarted:
    case request.AttemptOutcomeKind.Deadline:
    case request.AttemptOutcomeKind.CallerGone:
    case request.AttemptOutcomeKind.Quarantined:
      return;
  }
}

/**
 * Whether an attempt with this outcome needs no cancellation, and the runner
 * may drop its answer. `Broken` counts as stopped even if this entry broke the
 * answer off itself because pieces were missing.
 */
function hasWorkStopped(outcome: request.AttemptOutcome): boolean {
  switch (outcome.kind) {
    case request.AttemptOutcomeKind.Complete:
    case request.AttemptOutcomeKind.NeverStarted:
    case request.AttemptOutcomeKind.Broken:
      return true;
    case request.AttemptOutcomeKind.Unsettled:
    case request.AttemptOutcomeKind.Deadline:
    case request.AttemptOutcomeKind.CallerGone:
    case request.AttemptOutcomeKind.Quarantined:
      return false;
  }
}

/** Handles the events of an attempt until one of them gives its outcome. */
async function awaitOutcome(
  parameters: FollowedAttempt,
): Promise<request.AttemptOutcome> {
  const { runner, outgoing, accepted, sink } = parameters;
  const { identifier } = outgoing.attempt;
  const { AttemptEventKind } = outgoingAttempt;
  const { AttemptOutcomeKind } = request;
  let passedOn = 0;
  let acknowledged = 0;
  for await (const event of outgoing.events) {
    switch (event.kind) {
      case AttemptEventKind.Refused:
        return refusedOutcome(event.reason);
      case AttemptEventKind.Head:
        sink.head(event.head);
        break;
      case AttemptEventKind.Pieces:
        await sink.pieces(event.pieces);
        passedOn += event.pieces.length;
        // Acknowledges once per half window, to save messages.
        if (passedOn - acknowledged >= accepted.window / 2) {
          acknowledged = passedOn;
          runner.acknowledge(identifier, acknowledged);
        }
        break;
      case AttemptEventKind.End:
        return outcomeOfEnd(event.end);
      case AttemptEventKind.StateReported:
        return outcomeOfState(event.state);
      case AttemptEventKind.UpstreamReplaced:
        return {
          kind: AttemptOutcomeKind.Unsettled,
          reason: "upstream process replaced",
          endedLife: outgoing.attempt.agentIncarnation,
        };
      case AttemptEventKind.Unreachable:
        return {
          kind: AttemptOutcomeKind.Unsettled,
          reason: "upstream process unreachable",
          endedLife: "",
        };
      case AttemptEventKind.Deadline:
        return { kind: AttemptOutcomeKind.Deadline };
      case AttemptEventKind.Quarantined:
        return { kind: AttemptOutcomeKind.Quarantined };
      case AttemptEventKind.CallerGone:
        // A keyed request is followed to its outcome, because the outcome must
        // be written to the claim.
        if (accepted.repeatable || accepted.idempotencyKey === undefined) {
          return { kind: AttemptOutcomeKind.CallerGone };
        }
        break;
    }
  }
  // Reached only if `events` is closed, which no code does at present: when the
  // entry stops, the runner's link sends `Unreachable`.
  return unsettled("entry stopping");
}

/**
 * Outcome of an attempt that the runner refused: it never started. The cause
 * decides whether the next attempt is charged to the service's retry budget.
 */
function refusedOutcome(reason: wire.RefusalReason): request.AttemptOutcome {
  const kind = request.AttemptOutcomeKind.NeverStarted;
  switch (reason) {
    case wire.RefusalReason.Leaving:
      return { kind, cause: request.NotStartedCause.Leaving };
    case wire.RefusalReason.Full:
      return { kind, cause: request.NotStartedCause.Full };
    case wire.RefusalReason.AtRateLimit:
      return { kind, cause: request.NotStartedCause.AtRateLimit };
    case wire.RefusalReason.Resting:
      return { kind, cause: request.NotStartedCause.Resting };
    case wire.RefusalReason.OldIncarnation:
    case wire.RefusalReason.Tombstoned:
    case wire.RefusalReason.TooOld:
      return { kind, cause: request.NotStartedCause.Failed };
  }
}

function outcomeOfEnd(end: wire.AttemptEnd): request.AttemptOutcome {
  const { AttemptOutcomeKind } = request;
  switch (end.kind) {
    case wire.EndKind.Complete: {
      const { finishReason, promptTokens } = end;
      const kind = AttemptOutcomeKind.Complete;
      return { kind, finishReason, promptTokens };
    }
    case wire.EndKind.Broken: {
      const { reason, endedLife } = end;
      return { kind: AttemptOutcomeKind.Broken, reason, endedLife };
    }
    case wire.EndKind.NotStarted:
      return {
        kind: AttemptOutcomeKind.NeverStarted,
        cause: request.NotStartedCause.Failed,
      };
    case wire.EndKind.Cancelled:
      return {
        kind: AttemptOutcomeKind.Broken,
        reason: "cancelled",
        endedLife: "",
      };
  }
}

/**
 * Outcome of an attempt of which the upstream process has no record: it reports
 * a state, and neither pieces nor an end. It does so only when the entry
 * resumes such an attempt, so `Running` and `Finished` do not occur here. An
 * attempt that could not be sent comes here as `NeverStarted` as well.
 */
function outcomeOfState(state: wire.AttemptState): request.AttemptOutcome {
  const { AttemptOutcomeKind } = request;
  switch (state) {
    case wire.AttemptState.NeverStarted:
      return {
        kind: AttemptOutcomeKind.NeverStarted,
        cause: request.NotStartedCause.Failed,
      };
    case wire.AttemptState.Running:
    case wire.AttemptState.Finished:
    case wire.AttemptState.Forgotten:
      return unsettled("forgotten");
  }
}

function unsettled(reason: string): request.AttemptOutcome {
  const kind = request.AttemptOutcomeKind.Unsettled;
  return { kind, reason, endedLife: "" };
}
