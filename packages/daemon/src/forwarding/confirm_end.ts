import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as readDelay from "./read_delay.ts";
import type * as runnerClientModule from "./runner_client.ts";

/**
 * Time from the end of an answer to the look at its runner. The listener of a
 * process that ends closes some milliseconds after its connections.
 */
const SETTLE_MILLISECONDS = 30;
/**
 * Time after which a look without an answer is made a second time. The opening
 * packet of the first may be lost, and is sent again only after a second.
 */
const SECOND_LOOK_MILLISECONDS = 60;
/** Time in which no runner ends and listens again as a new incarnation. */
const MIN_RESTART_MILLISECONDS = 400;
/**
 * Longest wait for a runner list that is newer than the answer's end. A look at
 * the store takes up to a second, and the one under way may have begun before.
 */
const MAX_LIST_WAIT_MILLISECONDS = 3_000;
/** How often it is checked whether the list is newer. */
const LIST_CHECK_INTERVAL_MILLISECONDS = 25;

/** What the check of an answer's end needs. */
export interface ConfirmEndParameters {
  runner: traffic.RunnerEntry;
  runnerClient: runnerClientModule.RunnerClient;
  /** The runner list, and until when it is proved. */
  runners: traffic.ProvenValue<traffic.RunnerList>;
  /** How late the end of the answer may have been read. */
  delay: readDelay.ReadDelay;
  /** Aborts when the outcome is not needed any more. */
  signal: AbortSignal;
}

/**
 * Tells why an answer that ended with its connection may not be complete;
 * `undefined` if it counts as complete. The process of a runner that crashes or
 * exits ends its connections in the same way as a runner that is done, but then
 * nothing listens at its address any more. An answer counts as complete only if
 * something listens there. If the end was read so late that the runner may have
 * come back as a new incarnation, a runner list that is newer than the end must
 * also still have the old incarnation there.
 */
export async function confirmEnd(
  parameters: ConfirmEndParameters,
): Promise<string | undefined> {
  const endedAt = common.now();
  await common.sleep(SETTLE_MILLISECONDS);
  switch (await look(parameters)) {
    case common.Presence.Refused:
      return "runner ended with its answer";
    case common.Presence.Silent:
      return "no word from the runner after its answer";
    case common.Presence.Listening:
      return parameters.delay.milliseconds > MIN_RESTART_MILLISECONDS
        ? confirmIncarnation(parameters, endedAt)
        : undefined;
  }
}

/** Looks at the runner's address, twice if no answer comes to the first look. */
async function look({
  runner,
  runnerClient,
}: ConfirmEndParameters): Promise<common.Presence> {
  const first = runnerClient.presenceOf(runner);
  const early = await common.withTimeout(first, SECOND_LOOK_MILLISECONDS);
  if (early !== undefined && early !== common.Presence.Silent) return early;
  const looks = [first, runnerClient.presenceOf(runner)];
  const heard = looks.map(async (presence) => {
    const found = await presence;
    if (found === common.Presence.Silent) throw new Error("silent");
    return found;
  });
  return Promise.any(heard).catch(() => common.Presence.Silent);
}

/** Waits for a runner list that is newer than the end, and tells what it shows. */
async function confirmIncarnation(
  { runner, runners, signal }: ConfirmEndParameters,
  endedAt: number,
): Promise<string | undefined> {
  const isNewer = () => runners.age < common.now() - endedAt;
  while (!isNewer()) {
    const waited = common.now() - endedAt;
    if (signal.aborted || waited > MAX_LIST_WAIT_MILLISECONDS)
      return "not known whether the runner is still the same";
    await common.sleep(LIST_CHECK_INTERVAL_MILLISECONDS, signal);
  }
  const { address, port, bornAt } = runner;
  const incarnation = traffic.incarnationOf(runner);
  const atAddress = (runners.value?.runners ?? []).filter(
    (entry) => entry.address === address && entry.port === port,
  );
  const isSame = (entry: traffic.RunnerEntry) =>
    traffic.incarnationOf(entry) === incarnation;
  // An earlier one of another service may still be listed there.
  const isReplaced = atAddress.some(
    (entry) => !isSame(entry) && entry.bornAt >= bornAt,
  );
  return atAddress.some(isSame) && !isReplaced
    ? undefined
    : "another runner after its answer";
}
