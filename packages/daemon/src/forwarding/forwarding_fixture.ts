import * as neverthrow from "neverthrow";
import type * as answerBuffers from "./answer_buffers.ts";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as urgencyAdmission from "../admission/urgency_admission.ts";
import * as retryBudget from "../dispatch/retry_budget.ts";
import * as crashDetector from "../quarantine/crash_detector.ts";
import * as fingerprint from "../quarantine/fingerprint.ts";
import * as quarantineFixture from "../quarantine/quarantine_fixture.ts";
import * as rateLimitsFixture from "../rate_limit/rate_limits_fixture.ts";
import type * as rateLimitsModule from "../rate_limit/rate_limits.ts";
import * as runnerCrash from "../quarantine/runner_crash.ts";
import * as runnerRests from "../runner_rest/runner_rests.ts";
import type * as plannedStop from "../shutdown/planned_stop.ts";
import * as plannedStopFixture from "../shutdown/planned_stop_fixture.ts";
import type * as callerRequest from "./caller_request.ts";
import * as forwarderModule from "./forwarder.ts";
import * as runnerClient from "./runner_client.ts";
import * as runnerTracker from "./runner_tracker.ts";

/** Bounds on what is held of answers. */
export const ANSWER_BOUNDS: answerBuffers.AnswerBounds = {
  answerBytes: 32 * 1024 * 1024,
  deliveryBytes: 64 * 1024 * 1024,
};

/** Longest time for which a test waits for a condition. */
const CONDITION_TIMEOUT_MILLISECONDS = 5_000;
const CONDITION_CHECK_MILLISECONDS = 5;

/** Resolves once a condition holds; throws if it does not for long. */
export async function until(condition: () => boolean): Promise<void> {
  const latest = common.now() + CONDITION_TIMEOUT_MILLISECONDS;
  while (!condition()) {
    if (common.now() > latest) throw new Error("condition not met in time");
    await common.sleep(CONDITION_CHECK_MILLISECONDS);
  }
}

/** One server-sent event with its number. */
export function eventText(number: number): string {
  return `id: ${number}\ndata: x\n\n`;
}

type CallResult = neverthrow.Result<
  runnerClient.RunnerAnswer,
  runnerClient.CallFailure
>;

/** A call to a runner, which a test answers step by step. */
export class SteppedCall {
  readonly result: Promise<CallResult>;
  readonly #pieces = new common.Channel<Buffer>();
  #settle: (result: CallResult) => void = () => {};
  #truncated = false;
  /** Whether the runner has ended the call. */
  finished = false;
  /** Whether the entry has closed the connection. */
  closed = false;
  /** Whether the runner refused the request as not run. */
  refused = false;
  /** Whether the call ends a turn of the event loop after its abort. */
  endsLate = false;
  /** Whether a connection to the runner was made. */
  connected = true;

  constructor(readonly call: runnerClient.RunnerCall) {
    this.result = new Promise((resolve) => (this.#settle = resolve));
    call.signal.addEventListener("abort", () => {
      if (this.endsLate) setImmediate(() => this.breakOff());
      else this.breakOff();
    });
  }

  /** Runner to which the request was sent. */
  get runner(): string {
    return this.call.runner.identifier;
  }

  /** Whether the entry has given up the call. */
  get aborted(): boolean {
    return this.call.signal.aborted;
  }

  /** Sends the head of an answer; pieces may follow. */
  begin(change: Partial<runnerClient.RunnerAnswer> = {}): void {
    this.#settle(
      neverthrow.ok({
        verdict: runnerClient.Verdict.Ran,
        head: { status: 200, headers: [["Runner", this.runner]] },
        signed: true,
        rateLimit: undefined,
        retryAfter: undefined,
        endsWithConnection: false,
        leaving: false,
        body: this.#body(),
        close: () => this.#close(),
        ...change,
      }),
    );
  }

  /** Refuses the request as not run. */
  refuse(): void {
    const head = { status: 503, headers: [] };
    this.begin({ verdict: runnerClient.Verdict.NotRun, head });
    this.refused = true;
    this.end();
  }

  /** Answers that the request was run and failed. */
  fail(text: string): void {
    const head = { status: 500, headers: [] };
    this.begin({ verdict: runnerClient.Verdict.Failed, head });
    this.send(text);
    this.end();
  }

  /** Sends a piece of the body. */
  send(text: string): void {
    this.#pieces.push(Buffer.from(text));
  }

  /** Ends the body as complete. */
  end(): void {
    this.finished = true;
    this.#pieces.close();
  }

  /** Ends the connection before the body is complete. */
  breakOff(): void {
    if (this.finished) return;
    this.#truncated = true;
    this.end();
    const { Unknown, NotSent } = runnerClient.CallFailureKind;
    const kind = this.connected ? Unknown : NotSent;
    this.#settle(neverthrow.err({ kind, reason: "reset" }));
  }

  #close(): void {
    this.closed = true;
    this.breakOff();
  }

  async *#body(): AsyncGenerator<Buffer, void, void> {
    for await (const piece of this.#pieces) yield piece;
    if (this.#truncated) throw new common.TruncatedBody("reset");
  }
}

/** A caller's request that a forwarder handles, and what its caller received. */
export interface SentRequest {
  text: string;
  /** Number of complete answers that were given. */
  answers: number;
  status: number;
  headers: callerRequest.Header[];
  ended: "whole" | "broken" | "refused" | "";
  refusal: callerRequest.Refusal | undefined;
  /** Calls to runners, in order. */
  calls: SteppedCall[];
  /** Resolves when the forwarder has finished with the request. */
  finished: Promise<void>;
  /** Disconnects the caller. */
  leave(): void;
  /** While set, the caller takes no more of its answer. */
  blocked: boolean;
  /** Bytes of a complete answer that the caller has not taken. */
  heldBytes: number;
}

/** How a simulated entry and its route differ from the usual. */
export interface EntrySetup {
  route?: Partial<traffic.Route>;
  /**
   * Urgencies of further routes of the same service, each with its number as
   * the first part of its path.
   */
  otherUrgencies?: number[];
  runners?: string[];
  slots?: number;
  inLockStep?: boolean;
  /** Retries that the budget allows. */
  retries?: number;
  /** What is found at the addresses of runners, or what finds it. */
  presence?:
    | common.Presence
    | Promise<common.Presence>
    | (() => Promise<common.Presence>);
  /** Called with each call to a runner. */
  onCall?: (call: SteppedCall) => void;
  stop?: plannedStop.PlannedStop;
  /** Calls real runners; the port of one is the number in its identifier. */
  runnerClient?: runnerClient.RunnerClient;
}

/** A forwarder whose calls to runners a test answers. */
export class SteppedEntry {
  readonly logger = new common.RecordingLogger();
  /** Evacuated data centres; see `dataCentreOf`. */
  readonly evacuated = new Set<string>();
  readonly budget: retryBudget.RetryBudget;
  readonly tracker: runnerTracker.RunnerTracker;
  readonly runners = new traffic.ProvenValue<traffic.RunnerList>();
  readonly rateLimits = rateLimitsFixture.createRateLimits();
  readonly admission: urgencyAdmission.UrgencyAdmission;
  readonly forwarder: forwarderModule.Forwarder;
  /** Runners whose addresses the crash detector probed, in order. */
  readonly probes: string[] = [];
  /** Crashes that the detector found, in order. */
  readonly crashes: runnerCrash.RunnerCrash[] = [];
  readonly quarantine = quarantineFixture.createQuarantine();
  readonly #requests = new Map<string, SentRequest>();

  constructor(setup: EntrySetup) {
    const { retries = 5, runners = ["i-1", "i-2"] } = setup;
    this.budget = new retryBudget.RetryBudget({
      earnedPerRequest: 0,
      maxBalance: retries,
      initialBalance: retries,
    });
    this.tracker = createTracker(
      setup,
      runners,
      this.rateLimits,
      this.evacuated,
    );
    this.#offer({ version: 1, runners: runners.map(createRunner) });
    const presenceOf = async ({ identifier }: traffic.RunnerEntry) => {
      this.probes.push(identifier);
      const { presence = common.Presence.Listening } = setup;
      return typeof presence === "function" ? presence() : presence;
    };
    const { logger, budget, tracker } = this;
    const metrics = common.discardMetrics();
    const configuration = createConfiguration(
      setup.route ?? {},
      setup.otherUrgencies ?? [],
    );
    this.admission = new urgencyAdmission.UrgencyAdmission({
      onFailure: (cause) => {
        throw cause;
      },
      configuration,
      tracker,
      entryCount: () => 1,
      metrics,
    });
    this.forwarder = new forwarderModule.Forwarder({
      bounds: ANSWER_BOUNDS,
      configuration,
      admission: this.admission,
      proofAge: () => 0,
      maxProofAgeMilliseconds: 4_000,
      tracker,
      runners: this.runners,
      runnerClient: setup.runnerClient ?? {
        presenceOf,
        call: (call) => {
          const stepped = new SteppedCall(call);
          this.#requests.get(call.request.identifier)?.calls.push(stepped);
          setup.onCall?.(stepped);
          return stepped.result;
        },
      },
      budgetOf: () => budget,
      quarantine: this.quarantine,
      crashDetector: new crashDetector.CrashDetector({
        presenceOf,
        inUse: (runner) => tracker.inUse(runner),
        crashTimeOf: () => undefined,
        onCrash: (crash) => {
          this.crashes.push(crash);
          this.quarantine.recordCrash(crash);
        },
      }),
      onAnswerStart: () => {},
      onLeaving: () => {},
      rests: new runnerRests.RunnerRests({ logger, metrics }),
      rateLimits: this.rateLimits,
      stop: setup.stop ?? plannedStopFixture.createPlannedStop(),
      retryElsewhereMilliseconds: () => 50,
      random: new common.Random(2),
      logger,
      metrics,
    });
  }

  /** Takes a new list of runners, proved as of now. */
  list(runners: readonly traffic.RunnerEntry[]): void {
    const list = { version: this.runners.version + 1, runners: [...runners] };
    this.#offer(list);
    this.tracker.update(list);
  }

  #offer(list: traffic.RunnerList): void {
    this.runners.offer(list);
    this.runners.prove(list.version, common.instant());
  }

  /** Forwards a request of a caller. */
  send(
    identifier: string,
    change: Partial<callerRequest.CallerRequest> = {},
  ): SentRequest {
    const left = new AbortController();
    const sent: SentRequest = {
      text: "",
      answers: 0,
      status: 0,
      headers: [],
      ended: "",
      refusal: undefined,
      calls: [],
      finished: Promise.resolve(),
      leave: () => left.abort(),
      blocked: false,
      heldBytes: 0,
    };
    this.#requests.set(identifier, sent);
    const request = { ...createRequest(identifier), ...change };
    const sink = createSink(sent, left.signal);
    sent.finished = this.forwarder.forward(request, sink);
    return sent;
  }

  /** Notes that a runner takes so many requests a second. */
  limitRunner(identifier: string, perSecond: number): void {
    this.rateLimits.note({
      runner: createRunner(identifier),
      request: "earlier",
      reading: { kind: "named", perSecond },
      signed: true,
      sentAt: common.instant(),
    });
    this.rateLimits.tick();
  }

  /** Puts the request of this name in quarantine. */
  holdRequest(identifier: string): void {
    const request = createRequest(identifier);
    const identity = { ...request, account: "" };
    const found = fingerprint.fingerprintOf(identity);
    const now = common.now();
    for (const [index, life] of ["x", "y", "z"].entries()) {
      const startedAt = now - 30 + 10 * index;
      this.quarantine.recordCrash({
        life,
        runner: life,
        service: "s",
        version: "1",
        endedAt: startedAt + 5,
        evidence: runnerCrash.CrashEvidence.Refused,
        runs: [
          {
            request: identifier,
            fingerprint: found,
            startedAt,
            progress: runnerCrash.RunProgress.Waiting,
            promptParts: [],
          },
        ],
      });
    }
  }

  /** Outcome kind of a request, as logged. */
  endOf(identifier: string): string {
    return String(this.#loggedOutcome(identifier).end);
  }

  /** Outcome kinds of the attempts of a request, as logged. */
  attemptEnds(identifier: string): string[] {
    const { attempts } = this.#loggedOutcome(identifier);
    return (attempts as { end: string }[]).map(({ end }) => end);
  }

  #loggedOutcome(identifier: string): common.EventFields {
    const line = this.logger.events.find(
      ({ code, fields }) =>
        code === common.EventCode.Forwarded && fields.request === identifier,
    );
    if (!line) throw new Error(`no line about ${identifier}`);
    return line.fields;
  }
}

function createTracker(
  { slots = 8, inLockStep = false }: EntrySetup,
  identifiers: string[],
  rateLimits: rateLimitsModule.RateLimits,
  evacuated: ReadonlySet<string>,
): runnerTracker.RunnerTracker {
  const tracker = new runnerTracker.RunnerTracker({
    dataCentre: "d",
    random: new common.Random(1),
    rateLimitWaitOf: (runner) => rateLimits.waitOf(runner),
    restOf: () => 0,
    isEvacuated: (dataCentre) => evacuated.has(dataCentre),
    inLockStep: () => inLockStep,
  });
  tracker.update({
    version: 1,
    runners: identifiers.map((identifier) => ({
      ...createRunner(identifier),
      slots,
    })),
  });
  return tracker;
}

/** Data centre of a runner: what precedes its name and "/", or "d". */
function dataCentreOf(identifier: string): string {
  const [dataCentre, name] = identifier.split("/");
  return name === undefined ? "d" : dataCentre;
}

/** The runner of a name, as it is listed. */
export function createRunner(identifier: string): traffic.RunnerEntry {
  const port = Number(identifier.replace(/\D/g, ""));
  const dataCentre = dataCentreOf(identifier);
  return runnerFixture.createRunner({ identifier, port, dataCentre });
}

function createConfiguration(
  route: Partial<traffic.Route>,
  otherUrgencies: number[],
): traffic.ProvenValue<traffic.TrafficConfiguration> {
  const configuration = new traffic.ProvenValue<traffic.TrafficConfiguration>();
  const routeOf = (change: Partial<traffic.Route>): traffic.Route => ({
    name: "r",
    host: "h",
    prefix: "/a/",
    repeatability: traffic.Repeatability.Idempotent,
    answerForm: traffic.AnswerForm.Events,
    open: true,
    shares: [{ service: "s", weight: 1 }],
    mostAttempts: 2,
    timeoutMilliseconds: 5_000,
    objectiveMilliseconds: 200,
    gapMilliseconds: 120,
    urgency: 1,
    ...route,
    ...change,
  });
  const others = otherUrgencies.map((urgency) =>
    routeOf({ name: `r${urgency}`, prefix: `/${urgency}/`, urgency }),
  );
  configuration.offer({
    version: 1,
    routes: [routeOf({}), ...others],
    services: [{ name: "s", engine: undefined, warmUpRequestsPerSecond: 0 }],
    accounts: [],
    limits: {
      mostHeaderBytes: 1,
      mostBodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
  });
  return configuration;
}

function createRequest(identifier: string): callerRequest.CallerRequest {
  return {
    identifier,
    method: "POST",
    target: "/a/b",
    path: "/a/b",
    host: "h",
    headers: [],
    body: Buffer.from(identifier),
    key: undefined,
    timeoutMilliseconds: 4_000,
    resumeAfter: "",
    promptParts: [],
    arrivedAt: common.instant(),
  };
}

function createSink(
  sent: SentRequest,
  disconnected: AbortSignal,
): callerRequest.AnswerSink {
  return {
    disconnected,
    answer: async (head, body) => {
      sent.heldBytes = body.length;
      if (sent.blocked) await until(() => !sent.blocked);
      sent.heldBytes = 0;
      Object.assign(sent, { ...head, ended: "whole" });
      sent.text += body.toString();
      sent.answers++;
      return true;
    },
    begin: (head) => {
      Object.assign(sent, head);
    },
    write: async (piece) => {
      sent.text += piece.toString();
      if (sent.blocked) await until(() => !sent.blocked);
    },
    end: async () => {
      sent.ended = "whole";
      return true;
    },
    abort: () => {
      sent.ended = "broken";
    },
    refuse: async (refusal) => {
      Object.assign(sent, { refusal, ended: "refused" });
      return true;
    },
  };
}
