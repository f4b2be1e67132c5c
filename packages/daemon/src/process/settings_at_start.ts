import * as os from "node:os";
import * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";

/** How long settings that are being written may be unreadable, in milliseconds. */
const MAX_WAIT_MILLISECONDS = 2_000;
const RETRY_MILLISECONDS = 100;

type SettingsRead<T> = neverthrow.Result<T, common.InputProblem[]>;

/** Reads the settings at the start of a process, again for a while if they can't be read. */
export async function settingsAtStart<T>(
  read: () => SettingsRead<T>,
): Promise<SettingsRead<T>> {
  const deadline = common.now() + MAX_WAIT_MILLISECONDS;
  let settings = read();
  while (settings.isErr() && common.now() < deadline) {
    await common.sleep(RETRY_MILLISECONDS);
    settings = read();
  }
  return settings;
}

/** Says what is wrong with the settings, in the log and for people. */
export function reportRefusedSettings(refused: common.InputProblem[]): void {
  const problems = refused.map(common.describeProblem);
  const host = os.hostname();
  const writer = process.stdout;
  common
    .createLogger({ name: "geraniumkeeld", host, writer })
    .event(common.EventCode.SettingsRefused, { problems });
  for (const problem of problems)
    process.stderr.write(`settings: ${problem}\n`);
}
