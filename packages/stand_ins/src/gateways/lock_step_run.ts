import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as neverthrow from "neverthrow";

/** What an entry gets from a runner. */
type CallResult = neverthrow.Result<daemon.RunnerAnswer, daemon.CallFailure>;

/** One run of a request at a rank, as its entry sees it. */
export class LockStepRun {
  readonly result: Promise<CallResult>;
  readonly #pieces = new common.Channel<Buffer>();
  #settle: (result: CallResult) => void = () => {};
  #truncated = false;
  #ended = false;
  #begun = false;

  constructor(
    readonly entry: string,
    readonly call: daemon.RunnerCall,
  ) {
    this.result = new Promise((resolve) => (this.#settle = resolve));
    call.signal.addEventListener("abort", () => this.breakOff());
  }

  /** Whether the answer has begun. */
  get begun(): boolean {
    return this.#begun;
  }

  /** Whether nothing more will come. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Sends the head of a successful answer. */
  begin(): void {
    this.#begun = true;
    this.#settle(
      neverthrow.ok(answerOf(daemon.Verdict.Ran, 200, this.#body())),
    );
  }

  /** Turns the request away as not run. */
  refuse(): void {
    if (this.#ended) return;
    this.#settle(neverthrow.ok(answerOf(daemon.Verdict.NotRun, 503, noBody())));
    this.#end();
  }

  /** Sends one event of the answer. */
  send(number: number): void {
    if (!this.#ended)
      this.#pieces.push(Buffer.from(`id: ${number}\ndata: x\n\n`));
  }

  /** Ends the answer as complete. */
  complete(): void {
    this.#end();
  }

  /** Ends the connection before the answer is complete. */
  breakOff(): void {
    if (this.#ended) return;
    this.#truncated = true;
    this.#end();
    const kind = daemon.CallFailureKind.Unknown;
    this.#settle(neverthrow.err({ kind, reason: "reset" }));
  }

  #end(): void {
    this.#ended = true;
    this.#pieces.close();
  }

  async *#body(): AsyncGenerator<Buffer, void, void> {
    for await (const piece of this.#pieces) yield piece;
    if (this.#truncated) throw new common.TruncatedBody("reset");
  }
}

function answerOf(
  verdict: daemon.Verdict,
  status: number,
  body: AsyncIterable<Buffer>,
): daemon.RunnerAnswer {
  return {
    verdict,
    head: { status, headers: [] },
    signed: verdict === daemon.Verdict.Ran,
    rateLimit: undefined,
    retryAfter: undefined,
    endsWithConnection: false,
    leaving: false,
    body,
    close: () => {},
  };
}

async function* noBody(): AsyncGenerator<Buffer, void, void> {}
