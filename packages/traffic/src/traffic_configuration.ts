/** How often one request of a route may run. */
export enum Repeatability {
  /** It may run any number of times. */
  Idempotent = "idempotent",
  /** It runs at most once. */
  AtMostOnce = "at-most-once",
}

/** How a route's answers come. */
export enum AnswerForm {
  /** One body, passed on when it is whole. */
  Whole = "whole",
  /** Numbered events, each passed on as it is made. */
  Events = "events",
}

/** A service behind a route, with its part of the route's requests. */
export interface ServiceShare {
  service: string;
  weight: number;
}

/** Requests of one host below one path prefix. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  repeatability: Repeatability;
  answerForm: AnswerForm;
  /** Whether no access key is needed. */
  open: boolean;
  shares: ServiceShare[];
  /** Runners that one request may be sent to at most. */
  mostAttempts: number;
  /** Longest time without a final answer. */
  timeoutMilliseconds: number;
  /** Objective of the answer, or of its first event. */
  objectiveMilliseconds: number;
  /** Longest pause between two events that is still in time; 0 for none. */
  gapMilliseconds: number;
  /** 0 is most urgent. */
  urgency: number;
}

/** Sizes and speeds of a service's engines, as its operators state them. */
export interface EngineShape {
  /** Sequences that one engine runs at once. */
  slots: number;
  /** Milliseconds of one step with no sequence. */
  stepMilliseconds: number;
  /** Milliseconds that each sequence adds to a step. */
  sequenceMilliseconds: number;
  /** Prompt tokens read in a millisecond. */
  promptTokensPerMillisecond: number;
  /** Steps between two looks at the queue. */
  stepsPerPass: number;
  /** Layers with experts of their own; 0 for a model without experts. */
  layers: number;
  expertsPerLayer: number;
  /** Experts that one rank can hold of a layer. */
  expertSlots: number;
  /** Experts of a layer that a rank can load beside those in use. */
  spareSlots: number;
  /** Part of a token's work that its experts do, 0 to 1. */
  expertShare: number;
  /** Time that a rank takes to load one expert, in milliseconds; 0 if not told. */
  copyMilliseconds: number;
  /** Tokens of a request on average, read and written; 0 if not told. */
  usualPromptTokens: number;
  usualAnswerTokens: number;
}

/** A service, of models or plain. */
export interface Service {
  name: string;
  engine: EngineShape | undefined;
  /**
   * Requests a second that a runner takes from all entries together while it
   * warms up; 0 for no bound, `UNREADABLE_RATE` if the configured value is no rate.
   */
  warmUpRequestsPerSecond: number;
}

/** A client account as the holder of keys. */
export interface Account {
  name: string;
  keys: string[];
  /** Goes before the urgency of the route. */
  urgency: number | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  mostHeaderBytes: number;
  mostBodyBytes: number;
  headerMilliseconds: number;
  idleMilliseconds: number;
}

/** What requests may be sent where, at one version; plain data. */
export interface TrafficConfiguration {
  version: number;
  routes: Route[];
  services: Service[];
  /** `undefined` if requests need no key. */
  accounts: Account[] | undefined;
  limits: CallerLimits;
}
