import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as claimStore from "../dispatch/claim_store.ts";
import * as keyedRequestsModule from "../dispatch/keyed_requests.ts";
import * as request from "../dispatch/request.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import type * as runnerObtainer from "../dispatch/runner_obtainer.ts";

const test = ava.default;

// Guards against a request with an idempotency key that is sent to an evacuated data
// centre: writing its claim took seconds, in which the evacuation came into force.
test("a request is not sent where the evacuation came while its claim was written", async (t) => {
  let evacuated = false;
  let dispatches = 0;
  const writes: unknown[] = [];
  const runner = {
    host: { name: "runner" },
    newAttempt: (identifier: string) => ({ identifier }),
    dispatch: () => dispatches++,
  } as unknown as runnerLink.RunnerLink;
  const obtainer: runnerObtainer.RunnerObtainer = {
    obtainRunner: async () =>
      evacuated
        ? {
            kind: "result",
            result: obtainer.notRun(request.NotRunReason.NoRunner),
          }
        : {
            kind: "runner",
            runner,
            reservation: { release: () => {} },
            limit: 1,
          },
    isEvacuated: () => evacuated,
    notRun: (reason) => ({
      kind: request.ResultKind.NotRun,
      reason,
      retryAfterMilliseconds: 1,
    }),
    permitRetry: () => false,
  };
  const claims = {
    write: async ({ claim }: { claim: claimStore.Claim }) => {
      writes.push(claim);
      evacuated = true;
      return { kind: "written", stored: { claim } };
    },
  };
  const keyed = new keyedRequestsModule.KeyedRequests({
    claims: claims as never,
    lostClaims: {
      gather: async () => true,
      find: () => undefined,
      remember: () => {},
    } as never,
    runners: undefined as never,
    lifeCycle: undefined as never,
    logger: new common.RecordingLogger(),
    history: { record: () => {} },
    host: "entry",
    settleTimeoutMilliseconds: 1_000,
    quarantine: undefined as never,
  });
  const accepted = {
    identifier: "q",
    account: "a",
    service: "s",
    idempotencyKey: "k",
    work: {
      kind: wire.WorkKind.Call,
      method: "POST",
      path: "/",
      body: Buffer.from(""),
    },
  } as unknown as request.AcceptedRequest;
  const result = await keyed.run(obtainer, accepted, undefined as never);
  t.is(result.kind, request.ResultKind.NotRun);
  t.is(writes.length, 1);
  t.is(dispatches, 0);
});
