/** Numbered log events. A number is never used again for something else. */
export enum EventCode {
  ProcessStarted = 1001,
  ProcessReady = 1002,
  DrainStarted = 1003,
  DrainFinished = 1004,
  StopForced = 1005,
  CloseLate = 1006,
  SettingsRead = 1007,
  SettingsRefused = 1008,
  StopRepeated = 1009,
  ProcessFailed = 1010,
  TaskFailed = 1011,
  ListenerUnavailable = 1012,
  LinkEstablished = 1101,
  LinkLost = 1102,
  LinkSilent = 1103,
  LinkRefused = 1104,
  RunnerIncarnationChanged = 1105,
  RunnerLeaving = 1106,
  HostListUnavailable = 1201,
  HostAppeared = 1202,
  HostDisappeared = 1203,
  EntryIsolated = 1204,
  EntryRejoined = 1205,
  ConfigurationInForce = 1301,
  ConfigurationAccepted = 1302,
  ConfigurationConflict = 1303,
  ConfigurationNotReached = 1304,
  ConfigurationStale = 1305,
  StoreUnavailable = 1306,
  StoreRecovered = 1307,
  TableEpochBegan = 1308,
  TableEpochUnreadable = 1309,
  TableRowsRestored = 1310,
  TableEpochDoubtful = 1311,
  RowUnreadable = 1312,
  RequestRefused = 1401,
  RequestRetried = 1402,
  RequestIncomplete = 1403,
  RequestMayHaveRun = 1404,
  ClaimTakenOver = 1405,
  CallerStalled = 1407,
  SurgeExpected = 1408,
  SurgeOver = 1409,
  DispatchRefused = 1501,
  AttemptTombstoned = 1502,
  AttemptOrphaned = 1503,
  EngineFailed = 1504,
  OrderRefused = 1505,
  MapSwitchStarted = 1601,
  MapSwitchCommitted = 1602,
  MapSwitchCancelled = 1603,
  MapSwitchRecovered = 1604,
  CoordinatorChanged = 1605,
  PlacementPlanned = 1701,
  PlacementSkipped = 1702,
  PlacementHeldBack = 1703,
  PaceUnreadable = 1704,
  RunnerSpared = 1801,
  RunnerRestored = 1802,
  RunnerSlow = 1803,
  RunnerRecovered = 1804,
  DocumentUnavailable = 1901,
  DocumentAvailable = 1902,
  DocumentInForce = 1903,
  RunnerUnreadable = 1904,
  EvacuationStarted = 1911,
  EvacuationEnded = 1912,
  EvacuationUnknown = 1913,
  Forwarded = 2001,
  ForwardRefused = 2002,
  ForwardOverdue = 2003,
  RunnerEnded = 2101,
  RunnerEndDisproved = 2102,
  RequestQuarantined = 2103,
  QuarantineEnded = 2104,
  QuarantineNotKept = 2105,
  RunnerRateLimit = 2201,
  RunnerRateLimitUnreadable = 2202,
  RunnerAsksForRest = 2203,
  RunnerWarmUpStarted = 2204,
  RunnerWarmUpEnded = 2205,
  WarmUpRateUnreadable = 2206,
  CallerConnectionEnded = 2301,
  RequestHandlerFailed = 2302,
}

/** How much attention an event asks for. */
export enum EventLevel {
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** What the catalogue in docs/events.md says of an event. */
export interface EventEntry {
  level: EventLevel;
  meaning: string;
  action: string;
}

const NONE = "None.";

/** One entry per event; docs/events.md is made from it. */
export const EVENT_CATALOGUE: Record<EventCode, EventEntry> = {
  [EventCode.ProcessStarted]: {
    level: EventLevel.Info,
    meaning: "The process has read its settings and opened its listeners.",
    action: NONE,
  },
  [EventCode.ProcessReady]: {
    level: EventLevel.Info,
    meaning: "The process has a configuration in force and takes work.",
    action: NONE,
  },
  [EventCode.DrainStarted]: {
    level: EventLevel.Info,
    meaning: "The process refuses new work and finishes what it accepted.",
    action: NONE,
  },
  [EventCode.DrainFinished]: {
    level: EventLevel.Info,
    meaning: "All accepted work is finished.",
    action: "The host may be taken away.",
  },
  [EventCode.StopForced]: {
    level: EventLevel.Error,
    meaning: "A second stop signal ended the process; `lost` counts requests.",
    action: "Wait for DrainFinished next time, or raise the stop timeout.",
  },
  [EventCode.CloseLate]: {
    level: EventLevel.Warn,
    meaning: "A part did not close in time and was left.",
    action: "Report it with the state dump.",
  },
  [EventCode.SettingsRead]: {
    level: EventLevel.Info,
    meaning: "The settings were read again.",
    action: NONE,
  },
  [EventCode.SettingsRefused]: {
    level: EventLevel.Error,
    meaning:
      "The settings can't be read. Those in use stay in force; a process that starts tries again for two seconds, then ends with status 2.",
    action: "Mend what `problems` names.",
  },
  [EventCode.StopRepeated]: {
    level: EventLevel.Warn,
    meaning: "A further signal to stop came; the planned stop goes on.",
    action: "Wait for DrainFinished, or for the end of the grace time.",
  },
  [EventCode.ProcessFailed]: {
    level: EventLevel.Error,
    meaning:
      "An exception that nothing handles ends the process; `cause` is its stack.",
    action: "Report it; it is a fault of this program.",
  },
  [EventCode.TaskFailed]: {
    level: EventLevel.Error,
    meaning:
      "An exception ended `task`, which belongs to no request; `cause` is its stack. A task that has to go on is started again after a pause.",
    action:
      "Report it; it is a fault of this program. What was read just before may have caused it.",
  },
  [EventCode.ListenerUnavailable]: {
    level: EventLevel.Error,
    meaning:
      "A listener can't be opened, or could not accept a connection; `reason` says why. A process that starts waits until its ports are free, but for that of metrics, and is not ready until then.",
    action: "Look at what has the port.",
  },
  [EventCode.LinkEstablished]: {
    level: EventLevel.Info,
    meaning: "A link to another process of the system is up.",
    action: NONE,
  },
  [EventCode.LinkLost]: {
    level: EventLevel.Warn,
    meaning: "A link closed; a new one is being opened.",
    action: "If it repeats, check the host named.",
  },
  [EventCode.LinkSilent]: {
    level: EventLevel.Warn,
    meaning: "Nothing arrived on an open link in time; it is replaced.",
    action: "If it repeats between the same hosts, check the network path.",
  },
  [EventCode.LinkRefused]: {
    level: EventLevel.Error,
    meaning: "The other process refused the link.",
    action: "Check the process key and the addresses in the settings.",
  },
  [EventCode.RunnerIncarnationChanged]: {
    level: EventLevel.Warn,
    meaning: "The upstream process was replaced; its open attempts are lost.",
    action: "Expect MayHaveRun answers for non-repeatable requests.",
  },
  [EventCode.RunnerLeaving]: {
    level: EventLevel.Info,
    meaning: "A runner is leaving and gets no new work.",
    action: NONE,
  },
  [EventCode.HostListUnavailable]: {
    level: EventLevel.Warn,
    meaning: "The platform's host list cannot be read; the last one is used.",
    action: "Check the platform.",
  },
  [EventCode.HostAppeared]: {
    level: EventLevel.Info,
    meaning: "A host was added to the view.",
    action: NONE,
  },
  [EventCode.HostDisappeared]: {
    level: EventLevel.Info,
    meaning: "A host was removed from the view.",
    action: NONE,
  },
  [EventCode.EntryIsolated]: {
    level: EventLevel.Error,
    meaning: "This entry hears neither a peer nor the store; it refuses work.",
    action: "Check the network of this host.",
  },
  [EventCode.EntryRejoined]: {
    level: EventLevel.Info,
    meaning: "This entry hears a peer or the store again.",
    action: NONE,
  },
  [EventCode.ConfigurationInForce]: {
    level: EventLevel.Info,
    meaning: "A newer revision is in force in this process.",
    action: NONE,
  },
  [EventCode.ConfigurationAccepted]: {
    level: EventLevel.Info,
    meaning: "A change was committed through this process.",
    action: NONE,
  },
  [EventCode.ConfigurationConflict]: {
    level: EventLevel.Warn,
    meaning: "Another operator's change won; this one was not applied.",
    action: "Read the configuration again and repeat the change if wanted.",
  },
  [EventCode.ConfigurationNotReached]: {
    level: EventLevel.Warn,
    meaning: "Some processes did not confirm the revision in time.",
    action: "Check the hosts named; they follow when they are heard again.",
  },
  [EventCode.ConfigurationStale]: {
    level: EventLevel.Warn,
    meaning: "An older revision than the one in force was heard and ignored.",
    action: NONE,
  },
  [EventCode.StoreUnavailable]: {
    level: EventLevel.Warn,
    meaning: "The platform's table service does not answer.",
    action: "Check the platform. Changes and keyed requests are refused.",
  },
  [EventCode.StoreRecovered]: {
    level: EventLevel.Info,
    meaning: "The platform's table service answers again.",
    action: NONE,
  },
  [EventCode.TableEpochBegan]: {
    level: EventLevel.Error,
    meaning:
      "The platform's table service came back from a copy and has lost what was written in its last seconds; `before` and `epoch` are the numbers of its epochs.",
    action:
      "Look at TableRowsRestored of all hosts; see operations, a table that came back from a copy.",
  },
  [EventCode.TableEpochUnreadable]: {
    level: EventLevel.Warn,
    meaning:
      "The table service told no epoch, or none that is a number, where it told one before; it is taken to be in the same epoch.",
    action: "Look at what the table service sends.",
  },
  [EventCode.TableRowsRestored]: {
    level: EventLevel.Warn,
    meaning:
      "Rows of this system that the table service had lost or forgotten to have changed were written again; `rows` counts them by kind.",
    action: NONE,
  },
  [EventCode.TableEpochDoubtful]: {
    level: EventLevel.Warn,
    meaning:
      "A process that started found a table that came back from a copy, heard of nobody who knows more, and serves the configuration that is there.",
    action: "See that the table has the newest configuration.",
  },
  [EventCode.RowUnreadable]: {
    level: EventLevel.Warn,
    meaning:
      "A row of the table service can't be read and is left out; `reason` says why. Of the configuration, the last one that could be read stays in force.",
    action: "Look at who writes there.",
  },
  [EventCode.RequestRefused]: {
    level: EventLevel.Info,
    meaning: "A request was answered not-run; `reason` says why.",
    action: "If frequent, look at limits, presets and capacity.",
  },
  [EventCode.RequestRetried]: {
    level: EventLevel.Info,
    meaning: "A request goes to another runner after a settled attempt.",
    action: NONE,
  },
  [EventCode.RequestIncomplete]: {
    level: EventLevel.Warn,
    meaning: "An answer broke off; the caller saw an aborted body or an error.",
    action: "Look at the engine of the runner named.",
  },
  [EventCode.RequestMayHaveRun]: {
    level: EventLevel.Warn,
    meaning: "It cannot be known whether a request ran; the caller was told.",
    action: "The caller decides; look at the runner named.",
  },
  [EventCode.ClaimTakenOver]: {
    level: EventLevel.Info,
    meaning:
      "A keyed request that another entry had claimed was resolved here.",
    action: NONE,
  },
  [EventCode.CallerStalled]: {
    level: EventLevel.Info,
    meaning: "A caller took no bytes for too long; its connection was closed.",
    action: NONE,
  },
  [EventCode.SurgeExpected]: {
    level: EventLevel.Info,
    meaning:
      "A surge learned from earlier hours is on or near; less urgent requests of the service get a part of each runner's room.",
    action: NONE,
  },
  [EventCode.SurgeOver]: {
    level: EventLevel.Info,
    meaning: "Less urgent requests of the service get all room again.",
    action: NONE,
  },
  [EventCode.DispatchRefused]: {
    level: EventLevel.Info,
    meaning: "The upstream process refused an attempt before it started.",
    action: NONE,
  },
  [EventCode.AttemptTombstoned]: {
    level: EventLevel.Info,
    meaning: "An attempt that never started was refused for ever.",
    action: NONE,
  },
  [EventCode.AttemptOrphaned]: {
    level: EventLevel.Warn,
    meaning: "The entry of a running attempt is gone; `kept` tells its fate.",
    action: NONE,
  },
  [EventCode.EngineFailed]: {
    level: EventLevel.Warn,
    meaning: "The engine or plain service failed during a call.",
    action: "Look at the engine's own log.",
  },
  [EventCode.OrderRefused]: {
    level: EventLevel.Info,
    meaning: "An order with an old fencing number was refused.",
    action: NONE,
  },
  [EventCode.MapSwitchStarted]: {
    level: EventLevel.Info,
    meaning: "A switch to a new expert map was started.",
    action: NONE,
  },
  [EventCode.MapSwitchCommitted]: {
    level: EventLevel.Info,
    meaning: "All ranks of the group were told to use the new expert map.",
    action: NONE,
  },
  [EventCode.MapSwitchCancelled]: {
    level: EventLevel.Warn,
    meaning: "A switch was cancelled; all ranks keep the old expert map.",
    action: "If it repeats, look at the rank named.",
  },
  [EventCode.MapSwitchRecovered]: {
    level: EventLevel.Warn,
    meaning: "A switch left by another coordinator was finished or cancelled.",
    action: NONE,
  },
  [EventCode.CoordinatorChanged]: {
    level: EventLevel.Info,
    meaning: "This entry took or lost the coordination of a group.",
    action: NONE,
  },
  [EventCode.PlacementPlanned]: {
    level: EventLevel.Info,
    meaning: "A new expert map was planned; fields give gain and bytes moved.",
    action: NONE,
  },
  [EventCode.PlacementSkipped]: {
    level: EventLevel.Info,
    meaning: "No new expert map: the gain does not repay the cost.",
    action: NONE,
  },
  [EventCode.PlacementHeldBack]: {
    level: EventLevel.Info,
    meaning:
      "A new expert map is put off: a surge is on or near, and the gain does not repay the cost several times.",
    action: NONE,
  },
  [EventCode.PaceUnreadable]: {
    level: EventLevel.Warn,
    meaning:
      "An engine reported a `pace` that is not a finite number of 0 or more; 1 is used in its place. Logged once for each engine by each process.",
    action: "Look at what the engine reports.",
  },
  [EventCode.RunnerSpared]: {
    level: EventLevel.Warn,
    meaning: "A runner makes no progress and gets no new work for now.",
    action: "Look at its engine.",
  },
  [EventCode.RunnerRestored]: {
    level: EventLevel.Info,
    meaning: "A spared runner makes progress again.",
    action: NONE,
  },
  [EventCode.RunnerSlow]: {
    level: EventLevel.Warn,
    meaning:
      "The answers of a runner come much later than those of the other runners of its service; this entry sends it requests only when all others are full.",
    action:
      "Look at its engine, and at the host of the slowest rank of its group.",
  },
  [EventCode.RunnerRecovered]: {
    level: EventLevel.Info,
    meaning:
      "A slow runner answers in time again, or this entry knows no other that is faster.",
    action: NONE,
  },
  [EventCode.DocumentUnavailable]: {
    level: EventLevel.Warn,
    meaning:
      "The store did not give a document; `age` tells for how long a newer one may have gone unseen.",
    action: "Check the store, and the network of this host.",
  },
  [EventCode.DocumentAvailable]: {
    level: EventLevel.Info,
    meaning: "The store gives a document again.",
    action: NONE,
  },
  [EventCode.DocumentInForce]: {
    level: EventLevel.Info,
    meaning: "A newer version of a document is in force in this process.",
    action: NONE,
  },
  [EventCode.RunnerUnreadable]: {
    level: EventLevel.Warn,
    meaning: "A runner's registration cannot be read; it gets no work.",
    action: "Look at what the runner registers.",
  },
  [EventCode.EvacuationStarted]: {
    level: EventLevel.Info,
    meaning:
      "The evacuation of `dataCentre` is in force at this entry, which sends nothing new to runners there.",
    action: NONE,
  },
  [EventCode.EvacuationEnded]: {
    level: EventLevel.Info,
    meaning:
      "The evacuation of `dataCentre` has ended at this entry; runners there get requests again.",
    action: NONE,
  },
  [EventCode.EvacuationUnknown]: {
    level: EventLevel.Warn,
    meaning:
      "`dataCentre` is evacuated, but no runner and no entry is in a data centre of that name.",
    action: "Check the name that the evacuation was set with.",
  },
  [EventCode.Forwarded]: {
    level: EventLevel.Info,
    meaning:
      "A request was passed on and has ended; `attempts` tells runner, end and time of each.",
    action: NONE,
  },
  [EventCode.ForwardRefused]: {
    level: EventLevel.Info,
    meaning:
      "A request was answered without a runner; `reason` says why, `version` and `age` by which configuration.",
    action: NONE,
  },
  [EventCode.ForwardOverdue]: {
    level: EventLevel.Warn,
    meaning:
      "A request has no final answer although its time is over; `open` tells the runner of each attempt that has not ended, whether its answer had begun, and when it was sent.",
    action: "Report it with the state dump.",
  },
  [EventCode.RunnerEnded]: {
    level: EventLevel.Warn,
    meaning:
      "A runner ended while requests of this entry were under way there; `evidence` tells how it was seen, `runs` which requests by id and fingerprint, the parts of their prompts, and how far each had come.",
    action:
      "If one fingerprint is in each, look at what that request asks for; if one part is in each that was not writing, look at that part.",
  },
  [EventCode.RunnerEndDisproved]: {
    level: EventLevel.Info,
    meaning:
      "A runner that was taken for ended was heard again; nothing is held against requests for it.",
    action: "Look at the link between this runner and the entries in `seenBy`.",
  },
  [EventCode.RequestQuarantined]: {
    level: EventLevel.Error,
    meaning:
      "Several runners ended while they ran one request, or requests with one part in their prompts (`part:SERVICE:ID`), which are sent to no runner from now on; `ends` tells which runners, and which entries saw them end.",
    action:
      "Find the request by its fingerprint, or the part by its identifier, in RunnerEnded lines; mend the engine, or lift the quarantine if it is wrong.",
  },
  [EventCode.QuarantineNotKept]: {
    level: EventLevel.Warn,
    meaning:
      "The table service did not take a change of the quarantine; entries know of it as long as one of them lives.",
    action: "Check the table service.",
  },
  [EventCode.QuarantineEnded]: {
    level: EventLevel.Info,
    meaning:
      "A request or part in quarantine may be sent to runners again: an answer or an operator spoke for it, or an end was disproved.",
    action: NONE,
  },
  [EventCode.RunnerRateLimit]: {
    level: EventLevel.Info,
    meaning:
      "A runner named another request rate limit than before in the answer to `request`: `perSecond` from all entries together, absent if it named none.",
    action: NONE,
  },
  [EventCode.RunnerRateLimitUnreadable]: {
    level: EventLevel.Warn,
    meaning:
      "A runner named a request rate limit that is no decimal number; it is ignored, and what the runner said before holds.",
    action: "Look at what the runner sends.",
  },
  [EventCode.RunnerAsksForRest]: {
    level: EventLevel.Info,
    meaning:
      "A runner turned `request` away and wants nothing from this entry for `milliseconds`; logged if that ends later than what it asked for before.",
    action: NONE,
  },
  [EventCode.RunnerWarmUpStarted]: {
    level: EventLevel.Info,
    meaning:
      "A runner is listed as warming up and takes `perSecond` requests a second from all entries together until RunnerWarmUpEnded.",
    action: NONE,
  },
  [EventCode.RunnerWarmUpEnded]: {
    level: EventLevel.Info,
    meaning:
      "A runner is no longer bounded by its warm-up, which this entry enforced for `milliseconds`.",
    action: NONE,
  },
  [EventCode.WarmUpRateUnreadable]: {
    level: EventLevel.Warn,
    meaning:
      "A runner of `service` warms up, and the service's rate for that in the configuration is no number of 0 or more; its runners have no bound. Logged once until the rate can be read.",
    action: "Mend the rate in the configuration.",
  },
  [EventCode.CallerConnectionEnded]: {
    level: EventLevel.Info,
    meaning:
      "A caller's connection ended because of this process, or before an answer " +
      "had left whole. `kind` and `reason` say why, `unanswered` which requests " +
      "got no whole answer, `handedBytes` what was written to the connection, " +
      "`heldBytes` what of that had not left the process; `version`, its age in " +
      "milliseconds and `signalAges` what was in force.",
    action:
      "With `unanswered` and a kind other than caller-left: see OPERATIONS.md.",
  },
  [EventCode.RequestHandlerFailed]: {
    level: EventLevel.Error,
    meaning:
      "Handling `request` failed with an exception, which `cause` tells. No part of the program may throw there, whatever callers and runners send.",
    action: "Report it with the state dump.",
  },
};
