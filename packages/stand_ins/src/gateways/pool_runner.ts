import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as neverthrow from "neverthrow";

/** Text in a body that ends each runner which runs the request. */
const ENDS_RUNNER = "ends-runner";
/** Milliseconds after which it does so, where the body says nothing else. */
const USUAL_MILLISECONDS = 20;

/** The body of a request that ends its runner after a time, unlike others by a name. */
export function endingBody(
  name: string,
  afterMilliseconds = USUAL_MILLISECONDS,
): string {
  return `${ENDS_RUNNER} after=${afterMilliseconds} ${name}`;
}

/** How a run ends, as its entry sees it. */
enum RunEnd {
  Whole = "whole",
  Broken = "broken",
}

/** A run under way. */
interface Run {
  entry: string;
  body: string;
  /** Breaks it off as a lost connection does. */
  breakOff: () => void;
}

/** One place at which a runner is, is gone, and is back as another one. */
export class PoolRunner {
  #life = 1;
  #up = true;
  readonly #runs = new Set<Run>();
  /** It takes no new work and ends soon, as planned. */
  leaving = false;
  /** Says in its answers that it is leaving. */
  saysLeaving = false;
  /** Breaks off each answer after its first event, as a sound runner may. */
  breaksAnswers = false;
  /** Value of the rate limit header of its answers; `undefined` for none. */
  rateLimit: string | undefined;
  /**
   * `Retry-After` of the answers with which it turns all requests away;
   * `undefined` while it runs them.
   */
  restWanted: string | undefined;
  /** Whether requests that say so end the runner. */
  endsOnRequest = true;
  /** Called when a request ends the runner. */
  onEnd: () => void = () => {};

  constructor(
    readonly place: number,
    readonly runMilliseconds: number,
  ) {}

  /** Name of the present life. */
  get identifier(): string {
    return `i-${this.place}-${this.#life}`;
  }

  /** Number that grows with each life, as the time of its start does. */
  get bornAt(): number {
    return this.#life;
  }

  /** Whether it accepts connections. */
  get up(): boolean {
    return this.#up;
  }

  /** Whether a request with a body is under way here. */
  has(body: string): boolean {
    return [...this.#runs].some((run) => run.body === body);
  }

  /** Ends the present life; gives the bodies of what was under way. */
  stop(): string[] {
    this.#up = false;
    const runs = [...this.#runs];
    this.#runs.clear();
    for (const run of runs) run.breakOff();
    return runs.map(({ body }) => body);
  }

  /** Begins the next life. */
  start(): void {
    this.#life++;
    this.#up = true;
    this.leaving = false;
    this.saysLeaving = false;
  }

  /** An entry's connections are lost: reset, or silent for good. */
  loseCaller(entry: string, reset: boolean): void {
    for (const run of this.#runs) {
      if (run.entry !== entry) continue;
      this.#runs.delete(run);
      if (reset) run.breakOff();
    }
  }

  /** Runs a request: two events, the second after the time of a run. */
  run(
    entry: string,
    call: daemon.RunnerCall,
  ): ReturnType<daemon.RunnerClient["call"]> {
    const body = call.request.body.toString();
    const [, told] = /ends-runner after=(\d+)/.exec(body) ?? [];
    const endsAfter = this.endsOnRequest ? told : undefined;
    const ending = new Promise<RunEnd>((resolve) => {
      const run = { entry, body, breakOff: () => resolve(RunEnd.Broken) };
      this.#runs.add(run);
      const finish = () => {
        if (!this.#runs.has(run)) return;
        if (endsAfter !== undefined) return this.onEnd();
        this.#runs.delete(run);
        resolve(this.breaksAnswers ? RunEnd.Broken : RunEnd.Whole);
      };
      const timer = setTimeout(
        finish,
        endsAfter === undefined ? this.runMilliseconds : Number(endsAfter),
      );
      call.signal.addEventListener("abort", () => {
        clearTimeout(timer);
        this.#runs.delete(run);
        resolve(RunEnd.Broken);
      });
    });
    const answers = endsAfter === undefined || Number(endsAfter) > 0;
    if (!answers) return noAnswer(ending);
    return answerOf(ending, call.resumeAfter, this);
  }
}

/** Answers at once with a head. */
async function answerOf(
  ending: Promise<RunEnd>,
  resumeAfter: string,
  { rateLimit, saysLeaving: leaving }: PoolRunner,
): ReturnType<daemon.RunnerClient["call"]> {
  return neverthrow.ok({
    verdict: daemon.Verdict.Ran,
    head: { status: 200, headers: [] },
    signed: true,
    rateLimit,
    retryAfter: undefined,
    endsWithConnection: false,
    leaving,
    body: eventsOf(ending, Number(resumeAfter)),
    close: () => {},
  });
}

/** Says nothing until the run has ended. */
async function noAnswer(
  ending: Promise<RunEnd>,
): ReturnType<daemon.RunnerClient["call"]> {
  await ending;
  const kind = daemon.CallFailureKind.Unknown;
  return neverthrow.err({ kind, reason: "reset" });
}

async function* eventsOf(
  ending: Promise<RunEnd>,
  resumeAfter: number,
): AsyncGenerator<Buffer, void, void> {
  if (resumeAfter < 1) yield Buffer.from("id: 1\ndata: a\n\n");
  if ((await ending) === RunEnd.Broken) throw new common.TruncatedBody("reset");
  yield Buffer.from("id: 2\ndata: b\n\n");
}

/** The answer of a runner that turns a request away and wants rest. */
export function turnedAway(retryAfter: string): daemon.RunnerAnswer {
  return {
    verdict: daemon.Verdict.NotRun,
    head: { status: 503, headers: [] },
    signed: false,
    rateLimit: undefined,
    retryAfter,
    endsWithConnection: false,
    leaving: false,
    body: (async function* () {})(),
    close: () => {},
  };
}
