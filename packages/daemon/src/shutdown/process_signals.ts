import * as common from "@geraniumkeel/common";

/** Signals that the process handles. */
export enum ProcessSignal {
  /** Stop as planned. */
  Terminate = "SIGTERM",
  /** The settings file has changed. */
  Reload = "SIGHUP",
}

/** What signals lead to. */
export interface SignalActions {
  /** Stops the process as planned; called once. */
  stop: () => void;
  /** Reads the settings again. */
  reload: () => void;
}

/**
 * Handles the signals of this process from its very start: without a handler a
 * signal ends the process at once, with all that it has read. Signals that come
 * before the actions are known are acted on then. A further signal to stop
 * changes nothing.
 */
export class ProcessSignals {
  readonly #receivedAt = new Map<ProcessSignal, common.Instant>();
  #actions: SignalActions | undefined;
  /** When the first signal to stop came. */
  #stopReceivedAt: common.Instant | undefined;
  #reloadReceived = false;

  constructor(readonly logger: common.Logger) {
    process.on(ProcessSignal.Terminate, () => this.#terminate());
    process.on(ProcessSignal.Reload, () => this.#reload());
  }

  /** Whether a signal to stop was received. */
  get stopRequested(): boolean {
    return this.#stopReceivedAt !== undefined;
  }

  /** Milliseconds since the first signal to stop; 0 before. */
  get sinceStopRequested(): number {
    return this.#stopReceivedAt ? common.ageOf(this.#stopReceivedAt) : 0;
  }

  /** Milliseconds since each signal that was received came last, by its name. */
  ages(): Record<string, number> {
    const ages: Record<string, number> = {};
    for (const [name, receivedAt] of this.#receivedAt)
      ages[name] = Math.round(common.ageOf(receivedAt));
    return ages;
  }

  /** Says what signals lead to, once the process has started. */
  act(actions: SignalActions): void {
    this.#actions = actions;
    if (this.#reloadReceived) actions.reload();
    if (this.stopRequested) actions.stop();
  }

  #terminate(): void {
    this.#note(ProcessSignal.Terminate);
    if (this.stopRequested) {
      this.logger.event(common.EventCode.StopRepeated);
      return;
    }
    this.#stopReceivedAt = common.instant();
    this.#actions?.stop();
  }

  #reload(): void {
    this.#note(ProcessSignal.Reload);
    this.#reloadReceived = true;
    this.#actions?.reload();
  }

  #note(name: ProcessSignal): void {
    this.#receivedAt.set(name, common.instant());
  }
}
