import * as fs from "node:fs";
import * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";
import * as startEntry from "./entry/start_entry.ts";
import type * as runningProcess from "./running_process.ts";
import type * as listenModule from "./settings/listen.ts";
import * as settingsModule from "./settings/settings.ts";
import * as startUpstream from "./upstream/start_upstream.ts";

/** Starts an entry or upstream process, by the role in its settings. */
export function startProcess(
  settings: settingsModule.Settings,
  logger: common.Logger = common.createLogger({
    name: "geraniumkeeld",
    host: settings.host,
  }),
): Promise<
  neverthrow.Result<runningProcess.RunningProcess, listenModule.ListenFailure>
> {
  const metrics = settings.metrics
    ? common.createMetrics({ ...settings.metrics, host: settings.host })
    : common.discardMetrics();
  const history = openHistory(settings.historyFile);
  switch (settings.role) {
    case settingsModule.Role.Entry:
      return startEntry.startEntry({ settings, logger, metrics, history });
    case settingsModule.Role.Upstream:
      return startUpstream.startUpstream({
        settings,
        logger,
        metrics,
        history,
      });
  }
}

/**
 * Returns a recorder that appends each event to a file as a line of JSON. If no
 * file is given, the recorder discards the events.
 */
function openHistory(file: string | undefined): common.HistoryRecorder {
  if (file === undefined) return common.noHistory();
  return {
    record: (entry) => {
      const line = { ...entry, at: common.now() };
      fs.appendFileSync(file, `${JSON.stringify(line)}\n`);
    },
  };
}
