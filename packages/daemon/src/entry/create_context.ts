import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as wire from "@geraniumkeel/wire";
import * as accountLimits from "../admission/account_limits.ts";
import * as bodyResources from "../caller_connections/body_resources.ts";
import * as callerBounds from "../caller_connections/caller_bounds.ts";
import * as serviceQueue from "../admission/service_queue.ts";
import * as surgeReserve from "../admission/surge_reserve.ts";
import * as configurationHolder from "../configuration/configuration_holder.ts";
import * as copiedHeadPolicy from "../configuration/copied_head_policy.ts";
import * as configurationStore from "../configuration/configuration_store.ts";
import type * as runnerObtainer from "../dispatch/runner_obtainer.ts";
import * as claimStore from "../dispatch/claim_store.ts";
import * as dispatcherModule from "../dispatch/dispatcher.ts";
import * as keyedRequests from "../dispatch/keyed_requests.ts";
import * as lostClaims from "../dispatch/lost_claims.ts";
import * as retryBudget from "../dispatch/retry_budget.ts";
import * as runnerDirectory from "../dispatch/runner_directory.ts";
import * as configuredEvacuations from "../evacuation/configured_evacuations.ts";
import * as coordinatorsModule from "../expert_map/coordinators.ts";
import * as mapStore from "../expert_map/map_store.ts";
import * as hostView from "../membership/host_view.ts";
import * as memberTable from "../membership/member_table.ts";
import * as peerLinks from "../membership/peer_links.ts";
import * as quarantineModule from "../quarantine/quarantine.ts";
import * as quarantineRows from "../quarantine/quarantine_rows.ts";
import * as routerModule from "../routing/router.ts";
import type * as settingsModule from "../settings/settings.ts";
import * as answerLengths from "./answer_lengths.ts";
import type * as entryContext from "./entry_context.ts";
import * as freshnessModule from "./freshness.ts";

const DEFAULT_QUEUE_LENGTH = 1_000;
const DEFAULT_RETRY_SECONDS = 2;

/** What an entry's context is made from. */
export interface CreateContextParameters {
  settings: settingsModule.EntrySettings;
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
  lifeCycle: common.LifeCycle;
  table: backingServices.TableService;
  hostList: backingServices.HostList;
  objects: backingServices.ObjectStore;
  callerUrl: string;
  peerUrl: string;
  certificateAuthority: string | undefined;
  onPeerMessage: (host: string, message: wire.Message) => void;
}

/** Puts the parts of an entry process together; nothing runs yet. */
export function createContext(
  parameters: CreateContextParameters,
): entryContext.EntryContext {
  const { settings, logger, metrics, history, lifeCycle } = parameters;
  const random = new common.Random(common.processSeed());
  const incarnation = common.randomIdentifier();
  const { host, place, region, timing } = settings;
  const bounds = callerBounds.callerBounds(settings.limits);
  const unreadableRows = (table: string) =>
    common.UnreadableRows.ofTable(table, logger, metrics);
  const unreadableLeases = unreadableRows("leases");
  const unreadableConfiguration = unreadableRows("configuration");
  const keeper = new configurationHolder.ConfigurationHolder({
    unreadable: unreadableConfiguration,
    logger,
    history,
    host,
  });
  const hosts = new hostView.HostView({
    hostList: parameters.hostList,
    logger,
    periodMilliseconds: timing.hostListPeriod,
    unreadable: unreadableRows("hosts"),
  });
  const { callerUrl, peerUrl } = parameters;
  const self = { host, incarnation, place, callerUrl, peerUrl };
  const members = new memberTable.MemberTable(self);
  const { certificateAuthority } = parameters;
  const peers = new peerLinks.PeerLinks({
    settings,
    incarnation,
    lifeCycle,
    logger,
    metrics,
    random,
    members,
    hosts,
    currentConfiguration: keeper,
    certificateAuthority,
    onMessage: (from, _link, message) =>
      parameters.onPeerMessage(from, message),
    onLinked: (to) => {
      const suspicions = quarantine.initialMessage();
      if (suspicions) peers.send(to, suspicions);
    },
  });
  const rows = new quarantineRows.QuarantineRows({
    table: parameters.table,
    random,
    logger,
    metrics: parameters.metrics,
  });
  const quarantine = new quarantineModule.Quarantine({
    host,
    entries: () => members.alive.map((member) => member.host),
    // Engines do not tell the version of their software.
    versionsOf: () => new Set(),
    send: (message, except) => peers.broadcast(message, except),
    relays: true,
    // The process beside a runner tells of its end whenever a run ends with it.
    onReportedCrash: () => {},
    rows: quarantineRows.inBackground(rows, lifeCycle),
    logger,
    metrics,
  });
  const queues = new Map<
    string,
    serviceQueue.ServiceQueue<runnerObtainer.ReservedRunner>
  >();
  const queued = new common.ChangeNotice();
  const pump = () => {
    for (const queue of queues.values()) queue.admitWaiting();
  };
  const runners = new runnerDirectory.RunnerDirectory({
    hosts,
    lifeCycle,
    linkParameters: {
      settings,
      incarnation,
      logger,
      metrics,
      random,
      certificateAuthority,
      revision: () => keeper.revision,
      onLoad: (runner) => {
        router.observeLoad(runner);
        pump();
      },
      onCacheEvents: (runner, changes) =>
        router.applyCacheEvents(runner, changes),
      onLinked: pump,
    },
  });
  const position = { host, place, region };
  const evacuations = new configuredEvacuations.ConfiguredEvacuations({
    view: () => keeper.view,
    logger,
  });
  const router = new routerModule.Router({
    runners,
    position,
    isEvacuated: (name) => evacuations.isEvacuated(name),
    random,
    logger,
  });
  const freshness = new freshnessModule.Freshness({
    isolatedAfterMilliseconds: timing.isolatedAfter,
    lastPeerAt: () => peers.lastReceivedAt,
    hasPeers: () => members.present.length > 1,
    logger,
  });
  const retryAfterMilliseconds = () => {
    const seconds =
      keeper.view?.preset.retryAfterSeconds ?? DEFAULT_RETRY_SECONDS;
    // Callers refused together must not come back together.
    return seconds * 1_000 * random.between(0.5, 1.5);
  };
  const claims = new claimStore.ClaimStore({
    table: parameters.table,
    random,
    timeoutMilliseconds: timing.storePatience,
    unreadable: unreadableRows("claims"),
  });
  const owns = (duty: string) => ownsDuty(duty, host, members);
  const lost = new lostClaims.LostClaims({
    claims,
    epoch: parameters.table.epoch,
    runners: () => runners.all,
    isOwner: owns,
    host,
  });
  const keyed = new keyedRequests.KeyedRequests({
    lostClaims: lost,
    claims,
    runners,
    lifeCycle,
    logger,
    history,
    host,
    settleTimeoutMilliseconds: timing.settleAfter,
    quarantine,
  });
  const dispatcher = new dispatcherModule.Dispatcher({
    router,
    queueOf: (service) =>
      getOrCreate(queues, service, () => {
        const limit = () =>
          keeper.view?.service(service)?.queueLength ?? DEFAULT_QUEUE_LENGTH;
        const reserve = new surgeReserve.SurgeReserve({
          reservedShare: () => keeper.view?.preset.surgeReserve ?? 0,
          onChange: (expected) => {
            const code = expected
              ? common.EventCode.SurgeExpected
              : common.EventCode.SurgeOver;
            logger.event(code, { service });
          },
        });
        return new serviceQueue.ServiceQueue({
          limit,
          onWaiting: () => queued.announce(),
          reserve,
        });
      }),
    budgetOf: createBudgets(),
    keyed,
    quarantine,
    logger,
    metrics,
    history,
    host,
    retryAfterMilliseconds,
  });
  return {
    settings,
    incarnation,
    lifeCycle,
    logger,
    metrics,
    history,
    random,
    keeper,
    store: new configurationStore.ConfigurationStore({
      unreadable: unreadableConfiguration,
      table: parameters.table,
      random,
      timeoutMilliseconds: timing.storePatience,
    }),
    copiedHead: new copiedHeadPolicy.CopiedHeadPolicy({
      epoch: parameters.table.epoch,
      currentConfiguration: keeper,
      isOwner: () => owns("configuration"),
    }),
    claims,
    lostClaims: lost,
    table: parameters.table,
    unreadableLeases,
    hosts,
    members,
    peers,
    runners,
    router,
    evacuations,
    queues,
    queued,
    coordinators: new coordinatorsModule.Coordinators({
      host,
      incarnation,
      lifeCycle,
      logger,
      history,
      keeper,
      runners,
      entries: () => members.alive.map((member) => member.host),
      table: parameters.table,
      maps: new mapStore.MapStore(parameters.objects, unreadableRows("maps")),
      unreadableLeases,
      leaseMilliseconds: timing.leaseDuration,
      random,
    }),
    bodyResources: new bodyResources.BodyResources(bounds.bodyBytes),
    limits: new accountLimits.AccountLimits({
      self: host,
      entries: () => members.present.map((member) => member.host),
      account: (name) => keeper.view?.account(name),
      limitScale: () => keeper.view?.preset.limitScale ?? 1,
      send: (to, message) => peers.sendTo(to, message),
      onFailure: (cause) =>
        lifeCycle.onTaskFailure(`${lifeCycle.name}/limits`, cause),
    }),
    dispatcher,
    quarantine,
    quarantineRows: rows,
    lengths: new answerLengths.AnswerLengths(),
    freshness,
    draining: false,
    stopsBy: Infinity,
    retryAfterMilliseconds,
  };
}

function createBudgets(): (service: string) => retryBudget.RetryBudget {
  const budgets = new Map<string, retryBudget.RetryBudget>();
  return (service) =>
    getOrCreate(budgets, service, () => new retryBudget.RetryBudget());
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}

/** Whether a duty that one entry has for all is this one's. */
function ownsDuty(
  duty: string,
  host: string,
  members: memberTable.MemberTable,
): boolean {
  const others = members.present.map((member) => member.host);
  const entries = [...new Set([host, ...others])];
  return common.rendezvous(duty, entries) === host;
}
