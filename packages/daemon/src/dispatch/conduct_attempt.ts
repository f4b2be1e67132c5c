import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as answerSink from "./answer_sink.ts";
import * as outgoingAttempt from "./outgoing_attempt.ts";
import * as request from "./request.ts";
import type * as runnerLink from "./runner_link.ts";

/**
 * Follows one attempt to its outcome and passes its answer on. Only a word of
 * the runner settles an attempt; silence settles nothing.
 */
export async function conductAttempt(parameters: {
  runner: runnerLink.RunnerLink;
  outgoing: outgoingAttempt.OutgoingAttempt;
  accepted: request.AcceptedRequest;
  sink: answerSink.AnswerSink;
}): Promise<request.AttemptOutcome> {
  const { runner, outgoing, accepted } = parameters;
  const { attempt, events } = outgoing;
  const { AttemptEventKind } = outgoingAttempt;
  const onGone = () => events.push({ kind: AttemptEventKind.CallerGone });
  accepted.signal.addEventListener("abort", onGone, { once: true });
  if (accepted.signal.aborted) onGone();
  const timer = setTimeout(
    () => events.push({ kind: AttemptEventKind.Deadline }),
    Math.max(0, accepted.deadline - common.now()),
  );
  try {
    const outcome = await follow(parameters);
    const over = endsWork(outcome);
    // Giving up does not end the work: stop it where that is allowed. What may
    // not be repeated runs to its end, as stopping it half-way helps nobody.
    if (!over && accepted.repeatable) runner.cancel(attempt);
    const keep = accepted.idempotencyKey !== undefined;
    runner.close(attempt, over && !keep);
    return outcome;
  } finally {
    clearTimeout(timer);
    accepted.signal.removeEventListener("abort", onGone);
  }
}

/** Whether nothing runs any more after this outcome. */
function endsWork(outcome: request.AttemptOutcome): boolean {
  switch (outcome.kind) {
    case request.AttemptOutcomeKind.Complete:
    case request.AttemptOutcomeKind.NeverStarted:
    case request.AttemptOutcomeKind.Broken:
      return true;
    case request.AttemptOutcomeKind.Unsettled:
    case request.AttemptOutcomeKind.Deadline:
    case request.AttemptOutcomeKind.CallerGone:
      return false;
  }
}

async function follow(parameters: {
  runner: runnerLink.RunnerLink;
  outgoing: outgoingAttempt.OutgoingAttempt;
  accepted: request.AcceptedRequest;
  sink: answerSink.AnswerSink;
}): Promise<request.AttemptOutcome> {
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
        // Half a window is acknowledged at a time, to save messages.
        if (passedOn - acknowledged >= accepted.window / 2) {
          acknowledged = passedOn;
          runner.acknowledge(identifier, acknowledged);
        }
        break;
      case AttemptEventKind.End:
        return outcomeOfEnd(event.end);
      case AttemptEventKind.Settled:
        return outcomeOfState(event.state);
      case AttemptEventKind.Lost:
        return {
          kind: AttemptOutcomeKind.Unsettled,
          reason: "upstream process replaced",
        };
      case AttemptEventKind.Unreachable:
        return {
          kind: AttemptOutcomeKind.Unsettled,
          reason: "upstream process unreachable",
        };
      case AttemptEventKind.Deadline:
        return { kind: AttemptOutcomeKind.Deadline };
      case AttemptEventKind.CallerGone:
        // The answer of a non-repeatable request is still waited for: its claim
        // must say how it ended.
        if (accepted.repeatable || accepted.idempotencyKey === undefined) {
          return { kind: AttemptOutcomeKind.CallerGone };
        }
        break;
    }
  }
  return { kind: AttemptOutcomeKind.Unsettled, reason: "entry stopping" };
}

/** A refusal is settled; only one that cost work is charged as a retry. */
function refusedOutcome(reason: wire.RefusalReason): request.AttemptOutcome {
  const kind = request.AttemptOutcomeKind.NeverStarted;
  switch (reason) {
    case wire.RefusalReason.Leaving:
      return { kind, cause: request.NotStartedCause.Leaving };
    case wire.RefusalReason.Full:
      return { kind, cause: request.NotStartedCause.Full };
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
    case wire.EndKind.Broken:
      return { kind: AttemptOutcomeKind.Broken, reason: end.reason };
    case wire.EndKind.NotStarted:
      return {
        kind: AttemptOutcomeKind.NeverStarted,
        cause: request.NotStartedCause.Failed,
      };
    case wire.EndKind.Cancelled:
      return { kind: AttemptOutcomeKind.Broken, reason: "cancelled" };
  }
}

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
      return { kind: AttemptOutcomeKind.Unsettled, reason: "forgotten" };
  }
}
