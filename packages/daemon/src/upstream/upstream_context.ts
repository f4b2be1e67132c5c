import type * as common from "@geraniumkeel/common";
import type * as engineModule from "@geraniumkeel/engine";
import type * as wire from "@geraniumkeel/wire";
import type * as orderGate from "../expert_map/order_gate.ts";
import type * as settings from "../settings/settings.ts";
import type * as backEndRateLimit from "./back_end_rate_limit.ts";
import type * as backEndRest from "./back_end_rest.ts";
import type * as backEndLives from "./back_end_lives.ts";
import type * as attemptTable from "./attempt_table.ts";
import type * as loadReporter from "./load_reporter.ts";
import type * as waitingRoom from "./waiting_room.ts";

/** Clients of the back end on this host. */
export type BackEnd =
  | {
      kind: settings.BackEndKind.Model;
      engine: engineModule.HttpEngine;
      orders: orderGate.OrderGate;
    }
  | {
      kind: settings.BackEndKind.Plain;
      service: engineModule.HttpPlainService;
    };

/** A dispatch and the link it came over. */
export interface WaitingDispatch {
  link: wire.Link;
  message: Extract<wire.Message, { kind: wire.MessageKind.Dispatch }>;
}

/** What the tasks of an upstream process share. */
export interface UpstreamContext {
  settings: settings.UpstreamSettings;
  incarnation: string;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
  table: attemptTable.AttemptTable;
  backEnd: BackEnd;
  lives: backEndLives.BackEndLives;
  /** Request rate limit that the back end names. */
  rateLimit: backEndRateLimit.BackEndRateLimit;
  /** Rest that the back end asks for. */
  rest: backEndRest.BackEndRest;
  /** Dispatches that came while the runner was full. */
  waitingRoom: waitingRoom.WaitingRoom<WaitingDispatch>;
  /** Open links from entries. */
  links: Map<wire.Link, loadReporter.LinkDispatches>;
  /** Number of the newest link of each entry incarnation. */
  newestLink: Map<string, { number: number; link: wire.Link }>;
  leaving: boolean;
  /** Refuses new work and finishes what was accepted. */
  drain: () => void;
  /** The state dump. */
  state: () => unknown;
}
