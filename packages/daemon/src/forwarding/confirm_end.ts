import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as runnerClientModule from "./runner_client.ts";

/**
 * Time from the end of an answer to the look at its runner. The listener of a
 * process that ends may close some milliseconds after its connections; it took
 * 200 other connections to be seen.
 */
const SETTLE_MILLISECONDS = 30;
/**
 * Time after which a look without an answer is made a second time. The opening
 * packet of the first may be lost, and is sent again only after a second.
 */
const SECOND_LOOK_MILLISECONDS = 60;

/** What the check of an answer's end needs. */
export interface ConfirmEndParameters {
  runner: traffic.RunnerEntry;
  runnerClient: runnerClientModule.RunnerClient;
}

/**
 * Tells why an answer that ended with its connection may not be complete;
 * `undefined` if it counts as complete. The process of a runner that crashes or
 * exits ends its connections in the same way as a runner that is done, but then
 * nothing listens at its address any more. An answer counts as complete only if
 * something listens there.
 */
export async function confirmEnd(
  parameters: ConfirmEndParameters,
): Promise<string | undefined> {
  await common.sleep(SETTLE_MILLISECONDS);
  switch (await look(parameters)) {
    case common.Presence.Refused:
      return "runner ended with its answer";
    case common.Presence.Silent:
      return "no word from the runner after its answer";
    case common.Presence.Listening:
      return undefined;
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
