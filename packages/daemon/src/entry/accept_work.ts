import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as neverthrow from "neverthrow";
import type * as problem from "../operator/problem.ts";
import * as surgeReserve from "../admission/surge_reserve.ts";
import type * as entryContext from "./entry_context.ts";
import * as problems from "./problems.ts";

/** Header with the milliseconds that the caller will wait. */
export const TIMEOUT_HEADER = "request-timeout-milliseconds";
/** Header by which a caller can forbid repeating; it cannot allow it. */
export const REPEATABLE_HEADER = "request-repeatable";
/** Header with the key of a non-repeatable request. */
export const IDEMPOTENCY_HEADER = "idempotency-key";

const LONGEST_TIMEOUT_MILLISECONDS = 3_600_000;
const LONGEST_IDEMPOTENCY_KEY = 255;

/** A caller that may send work now. */
export interface WelcomeCaller {
  account: configuration.Account;
  view: configuration.ConfigurationView;
}

/** Proves the caller and checks that this entry takes work. */
export function welcomeCaller(
  context: entryContext.EntryContext,
  authorization: string | undefined,
): neverthrow.Result<WelcomeCaller, problem.Problem> {
  const { view } = context.keeper;
  const later = (reason: string, title: string) =>
    neverthrow.err(comeBackLater(context, reason, title));
  if (!view) return later("not-ready", "This entry has no configuration yet");
  const key = common.bearerToken(authorization);
  const account = key === undefined ? undefined : view.accountOfKey(key);
  if (!account) {
    const title = "A client account's key is needed";
    return neverthrow.err(problems.refusal(401, "unauthorized", title));
  }
  if (context.draining) {
    return neverthrow.err(refusalOfStop(context));
  }
  if (context.freshness.stale) {
    return later("isolated", "This entry host is cut off; use another");
  }
  if (view.preset.kind === configuration.PresetKind.Maintenance) {
    return later("maintenance", "The service is under maintenance");
  }
  return neverthrow.ok({ account, view });
}

/**
 * Refuses a request that may still run when a planned stop ends what runs: it would be
 * cut off without an answer, and its caller could not tell whether it ran.
 */
export function checkStop(
  context: entryContext.EntryContext,
  { deadline }: RequestTerms,
): problem.Problem | undefined {
  return deadline > context.stopsBy ? refusalOfStop(context) : undefined;
}

function refusalOfStop(context: entryContext.EntryContext): problem.Problem {
  const title = "This entry host is stopping; use another";
  return comeBackLater(context, "draining", title);
}

function comeBackLater(
  context: entryContext.EntryContext,
  reason: string,
  title: string,
): problem.Problem {
  const retryAfterSeconds = context.retryAfterMilliseconds() / 1_000;
  return problems.refusal(503, reason, title, { retryAfterSeconds });
}

/** What the headers of a request say of how to run it. */
export interface RequestTerms {
  /** Deadline by this process's clock. */
  deadline: number;
  urgency: number;
  /** Whether the caller forbids repeating. */
  forbidsRepeat: boolean;
  idempotencyKey: string | undefined;
}

/** Reads the headers that say how to run a request. */
export function readTerms(
  headers: http.IncomingHttpHeaders,
  standardTimeoutMilliseconds: number,
): neverthrow.Result<RequestTerms, common.InputProblem[]> {
  const wrong: common.InputProblem[] = [];
  const timeout = Number(
    headers[TIMEOUT_HEADER] ?? standardTimeoutMilliseconds,
  );
  const valid = timeout > 0 && timeout <= LONGEST_TIMEOUT_MILLISECONDS;
  if (!valid) {
    wrong.push({
      path: TIMEOUT_HEADER,
      value: String(headers[TIMEOUT_HEADER]),
      fix: `give 1 to ${LONGEST_TIMEOUT_MILLISECONDS} milliseconds`,
    });
  }
  const repeatable = headers[REPEATABLE_HEADER];
  if (repeatable !== undefined && repeatable !== "no") {
    wrong.push({
      path: REPEATABLE_HEADER,
      value: String(repeatable),
      fix: 'use "no" or leave it out: a caller can only forbid repeating',
    });
  }
  const idempotencyKey = headers[IDEMPOTENCY_HEADER] as string | undefined;
  const length = idempotencyKey?.length ?? 1;
  if (length < 1 || length > LONGEST_IDEMPOTENCY_KEY) {
    wrong.push({
      path: IDEMPOTENCY_HEADER,
      value: `${length} characters`,
      fix: `give 1 to ${LONGEST_IDEMPOTENCY_KEY} characters`,
    });
  }
  if (wrong.length > 0) return neverthrow.err(wrong);
  return neverthrow.ok({
    deadline: common.now() + timeout,
    urgency: readUrgency(headers["priority"]),
    forbidsRepeat: repeatable === "no",
    idempotencyKey,
  });
}

/** Urgency of a `Priority` header (RFC 9218); anything unclear is the default. */
export function readUrgency(header: string | string[] | undefined): number {
  const match = /(?:^|,)\s*u=([0-7])\b/.exec(String(header ?? ""));
  return match ? Number(match[1]) : surgeReserve.DEFAULT_URGENCY;
}
