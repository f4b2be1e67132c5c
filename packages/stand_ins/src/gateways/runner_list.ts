import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import type * as traffic from "@geraniumkeel/traffic";
import * as neverthrow from "neverthrow";

/** A list of runners that stand-ins keep, as entries follow it. */
export class RunnerListSource {
  readonly #changed = new common.ChangeNotice();
  #version = 1;

  constructor(readonly entries: () => traffic.RunnerEntry[]) {}

  /** Tells that what is listed has changed. */
  announce(): void {
    this.#version++;
    this.#changed.announce();
  }

  /** The list as it is now. */
  list(): traffic.RunnerList {
    return { version: this.#version, runners: this.entries() };
  }

  /** The list as one entry follows it. */
  source(): traffic.DocumentSource<traffic.RunnerList> {
    let seen = 0;
    return {
      next: async (waitMilliseconds) => {
        if (seen === this.#version) await this.#changed.next(waitMilliseconds);
        seen = this.#version;
        return neverthrow.ok({ value: this.list() });
      },
    };
  }
}

/** A runner as it is listed, with what stand-ins do not vary filled in. */
export function entryOf(
  runner: Pick<
    traffic.RunnerEntry,
    "identifier" | "bornAt" | "service" | "address" | "slots"
  > &
    Partial<traffic.RunnerEntry>,
): traffic.RunnerEntry {
  return {
    version: "1",
    port: 1,
    dataCentre: "d",
    leaving: false,
    warmingUp: false,
    ...runner,
  };
}

/** The answer of a runner that was not meant. */
export function wrongRunner(): daemon.RunnerAnswer {
  return {
    verdict: daemon.Verdict.WrongRunner,
    head: { status: 421, headers: [] },
    signed: false,
    rateLimit: undefined,
    retryAfter: undefined,
    endsWithConnection: false,
    leaving: false,
    body: (async function* () {})(),
    close: () => {},
  };
}
