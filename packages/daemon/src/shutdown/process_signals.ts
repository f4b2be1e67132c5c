import * as common from "@geraniumkeel/common";

/** Signals that the process handles. */
export enum ProcessSignal {
  /** Stop as planned. */
  Terminate = "SIGTERM",
  /** The settings file has changed. */
  Reload = "SIGHUP",
}

/** A signal that this process received. */
export interface ReceivedSignal {
  name: ProcessSignal;
  receivedAt: common.Instant;
}

/** Remembers the signals that this process received. */
export class ProcessSignals {
  #latest: ReceivedSignal | undefined;

  /** The latest signal; `undefined` before the first. */
  get latest(): ReceivedSignal | undefined {
    return this.#latest;
  }

  /** Notes that a signal was received. */
  note(name: ProcessSignal): void {
    this.#latest = { name, receivedAt: common.instant() };
  }
}
