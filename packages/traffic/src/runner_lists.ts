import * as util from "node:util";
import * as provisionalVersion from "./provisional_version.ts";
import * as runnerEntry from "./runner_entry.ts";

/**
 * Shortest time between two corrections of a list that another reader made, in
 * milliseconds. It bounds the lists that are sent while two readers disagree.
 */
const CORRECTION_MILLISECONDS = 2_000;

/** What a reader found. */
export interface RunnersFound {
  runners: runnerEntry.RunnerEntry[];
  /** Version of the last change that was found. */
  changedAt: number;
  /** Version as of which all was read. */
  readAt: number;
  /** Whether runners may be missing without the reader's knowledge. */
  isProvisional: boolean;
  /** Whether runners are listed that have no row at present. */
  isKeeping: boolean;
  /** The list that this process has, from this or another reader. */
  inForce: runnerEntry.RunnerList | undefined;
  now: number;
}

/** Makes the lists of one reader, each with a version. */
export class RunnerLists {
  #list: runnerEntry.RunnerList | undefined;
  /** Version of the list among those of this reader, provisional or not. */
  #number = -1;
  #correctedAt = -Infinity;

  /** The list of what was found; the last one if nothing in it is new. */
  listOf(found: RunnersFound): runnerEntry.RunnerList {
    const { runners, inForce, isProvisional } = found;
    const { changedAt, readAt } = found;
    const wasProvisional =
      !this.#list || provisionalVersion.isProvisional(this.#list.version);
    // Each runner writes a row every second or so, in which nothing is new but its
    // count and the rest of its warm-up. A new list goes to all other processes.
    const isSame =
      this.#list !== undefined &&
      wasProvisional === isProvisional &&
      util.isDeepStrictEqual(this.#list.runners, runners);
    if (isProvisional) {
      if (this.#list && isSame) return this.#list;
      const number = this.#nextNumber(changedAt);
      const version = provisionalVersion.provisionalVersion(number);
      return (this.#list = { version, runners });
    }
    if (wasProvisional && inForce && isFinalList(inForce, runners)) {
      this.#number = inForce.version;
      return (this.#list = { version: inForce.version, runners });
    }
    if (this.#list && isSame) {
      if (!this.#contradicts(found)) return this.#list;
      this.#correctedAt = found.now;
    }
    // What was read before and was not put in force, or was replaced, is as of now.
    const asOf = wasProvisional || isSame ? readAt : changedAt;
    return (this.#list = { version: this.#nextNumber(asOf), runners });
  }

  /** Without a change in the store it is time that took a runner off the list. */
  #nextNumber(version: number): number {
    this.#number = Math.max(version, this.#number + 1);
    return this.#number;
  }

  /**
   * Whether the list in force names other runners than this reader found, who has read
   * more of the store than the reader who made it.
   */
  #contradicts(found: RunnersFound): boolean {
    const { runners, readAt, isKeeping, inForce, now } = found;
    if (!inForce || isKeeping || readAt <= inForce.version) return false;
    if (now - this.#correctedAt < CORRECTION_MILLISECONDS) return false;
    return !isSameRunners(inForce.runners, runners);
  }
}

/** Whether a list that is not provisional is the same, in any order. */
function isFinalList(
  list: runnerEntry.RunnerList,
  runners: runnerEntry.RunnerEntry[],
): boolean {
  if (provisionalVersion.isProvisional(list.version)) return false;
  return util.isDeepStrictEqual(
    byIncarnation(list.runners),
    byIncarnation(runners),
  );
}

/**
 * Whether two lists name the same runners in the same states, in any order. Warm-ups
 * are left out: they end by the clocks of each reader.
 */
function isSameRunners(
  left: runnerEntry.RunnerEntry[],
  right: runnerEntry.RunnerEntry[],
): boolean {
  const withoutWarmUp = (runners: runnerEntry.RunnerEntry[]) =>
    byIncarnation(runners.map((runner) => ({ ...runner, warmingUp: false })));
  return util.isDeepStrictEqual(withoutWarmUp(left), withoutWarmUp(right));
}

function byIncarnation(
  runners: runnerEntry.RunnerEntry[],
): Map<string, runnerEntry.RunnerEntry> {
  return new Map(
    runners.map((runner) => [runnerEntry.incarnationOf(runner), runner]),
  );
}
