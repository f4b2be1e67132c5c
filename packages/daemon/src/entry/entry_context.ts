import type * as lostClaims from "../dispatch/lost_claims.ts";
import type * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as accountLimits from "../admission/account_limits.ts";
import type * as serviceQueue from "../admission/service_queue.ts";
import type * as bodyResources from "../caller_connections/body_resources.ts";
import type * as configurationHolder from "../configuration/configuration_holder.ts";
import type * as copiedHeadPolicy from "../configuration/copied_head_policy.ts";
import type * as configurationStore from "../configuration/configuration_store.ts";
import type * as runnerObtainer from "../dispatch/runner_obtainer.ts";
import type * as claimStore from "../dispatch/claim_store.ts";
import type * as dispatcher from "../dispatch/dispatcher.ts";
import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as configuredEvacuations from "../evacuation/configured_evacuations.ts";
import type * as coordinators from "../expert_map/coordinators.ts";
import type * as hostView from "../membership/host_view.ts";
import type * as memberTable from "../membership/member_table.ts";
import type * as peerLinks from "../membership/peer_links.ts";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as quarantineRows from "../quarantine/quarantine_rows.ts";
import type * as router from "../routing/router.ts";
import type * as settings from "../settings/settings.ts";
import type * as answerLengths from "./answer_lengths.ts";
import type * as freshness from "./freshness.ts";

/** What the parts of an entry process share. */
export interface EntryContext {
  settings: settings.EntrySettings;
  incarnation: string;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
  random: common.Random;
  keeper: configurationHolder.ConfigurationHolder;
  store: configurationStore.ConfigurationStore;
  copiedHead: copiedHeadPolicy.CopiedHeadPolicy;
  claims: claimStore.ClaimStore;
  lostClaims: lostClaims.LostClaims;
  table: backingServices.TableService;
  unreadableLeases: common.UnreadableRows;
  hosts: hostView.HostView;
  members: memberTable.MemberTable;
  peers: peerLinks.PeerLinks;
  runners: runnerDirectory.RunnerDirectory;
  router: router.Router;
  evacuations: configuredEvacuations.ConfiguredEvacuations;
  queues: Map<string, serviceQueue.ServiceQueue<runnerObtainer.ReservedRunner>>;
  /** Told whenever a request begins to wait in a queue. */
  queued: common.ChangeNotice;
  coordinators: coordinators.Coordinators;
  limits: accountLimits.AccountLimits;
  /** What the bodies of callers' requests share. */
  bodyResources: bodyResources.BodyResources;
  dispatcher: dispatcher.Dispatcher;
  quarantine: quarantine.Quarantine;
  quarantineRows: quarantineRows.QuarantineRows;
  lengths: answerLengths.AnswerLengths;
  freshness: freshness.Freshness;
  draining: boolean;
  /** When a planned stop ends what still runs, by `common.now`; Infinity before. */
  stopsBy: number;
  /** Jittered time after which a refused caller should come back. */
  retryAfterMilliseconds: () => number;
}
