/** Demand of one urgency of a service, over all entries. */
export interface UrgencyDemand {
  /** Requests in progress. */
  running: number;
  /** Requests that wait for capacity. */
  waiting: number;
  arrivalsPerMillisecond: number;
}

/** Adds to the demand of one urgency. */
export function addDemand(
  sums: Map<number, UrgencyDemand>,
  urgency: number,
  added: UrgencyDemand,
): void {
  const sum = sums.get(urgency);
  sums.set(urgency, {
    running: (sum?.running ?? 0) + added.running,
    waiting: (sum?.waiting ?? 0) + added.waiting,
    arrivalsPerMillisecond:
      (sum?.arrivalsPerMillisecond ?? 0) + added.arrivalsPerMillisecond,
  });
}

/** A runner that may receive requests. */
export interface RunnerCapacity {
  identifier: string;
  /** Requests that it may process at once; need not be whole. */
  slots: number;
  /** Requests in progress there, from all entries. */
  outstanding: number;
}

/** What an entry knows about the load of a service at the time of a decision. */
export interface ServiceSnapshot {
  /** Runners that may receive requests; none while the service stands still. */
  runners: readonly RunnerCapacity[];
  /** Whether there are runners that may receive requests again soon. */
  mayReturn: boolean;
  /**
   * Shortest objective of the routes to the service. It bounds the queues at
   * runners for all requests: a request with a longer objective must not queue
   * where a more urgent one would be late behind it.
   */
  shortestObjectiveMilliseconds: number;
  /** Requests that this entry let start and that are at no runner yet. */
  starting: number;
  /**
   * Fraction of the capacity that the entries account for whose load is known
   * here: 1 if all others report, less if some are silent.
   */
  knownShare: number;
  demand: ReadonlyMap<number, UrgencyDemand>;
  /**
   * Expected duration of an answer, its time to the first event included;
   * `undefined` if none was measured or configured.
   */
  answerMilliseconds: number | undefined;
  /** Estimated median time to a first event at a runner with a free slot. */
  firstEventMilliseconds: number | undefined;
  /** Requests in progress from all entries at the last report. */
  inProgressAtReport: number;
  /** Requests that this entry started since then, less those that ended. */
  startedSinceReport: number;
  /** This entry's part of the waiting and arriving requests of all entries. */
  entryShare: number;
}

/** The facts about a request that decide on its admission. */
export interface AdmissionRequest {
  /** 0 is most urgent. */
  urgency: number;
  objectiveMilliseconds: number;
  /** Milliseconds since the request arrived. */
  elapsedMilliseconds: number;
  /** Estimated milliseconds that its caller spent on earlier tries. */
  spentBefore: number;
  /** Whether the request is in the queue already. */
  isWaiting: boolean;
  /** Longest time from its arrival for which it waits while runners stand still. */
  maxStandstillMilliseconds: number;
  /**
   * Milliseconds left of the time that a request which waited for a service
   * that stood still gets after the service's return; 0 for others.
   */
  graceMilliseconds: number;
}

/** Why a request waits or is refused. */
export enum AdmissionReason {
  /** No runner of the service may receive requests. */
  Standstill = "standstill",
  /** All slots and the places in the runners' queues are taken. */
  NoCapacity = "no capacity",
  /** What is free is reserved for more urgent requests. */
  Reserved = "capacity reserved for more urgent requests",
  /** The request is late, and what is free is needed by requests in time. */
  Late = "late, and capacity is needed by requests in time",
  /** The account asks for more than its share. */
  AccountShare = "account used its share",
  /** This entry started its part of the free capacity since the last report. */
  EntryShare = "entry used its part of the free capacity",
}

/** The figures behind a decision, for the log and the state dump. */
export interface AdmissionInputs {
  /** Slots of the runners that may receive requests. */
  capacity: number;
  /** Places in the queues of these runners. */
  queuePlaces: number;
  inProgress: number;
  /** Capacity reserved for other requests. */
  reserved: number;
  /** Arrivals of all urgencies, per second. */
  arrivalsPerSecond: number;
  late: boolean;
}

/** What becomes of a request. */
export type AdmissionDecision =
  /** It starts; the runners in `full` have no room for it. */
  | { kind: "start"; full: ReadonlySet<string> }
  | {
      kind: "wait";
      reason: AdmissionReason;
      /** Longest time for which it waits from now on. */
      milliseconds: number;
      inputs: AdmissionInputs;
    }
  | {
      kind: "refuse";
      reason: AdmissionReason;
      /** Time after which capacity for the request is expected, if it returns. */
      waitMilliseconds: number;
      /**
       * Rate at which capacity that requests in time leave becomes free for this
       * entry; 0 for none.
       */
      requestsPerMillisecond: number;
      inputs: AdmissionInputs;
    };

/**
 * Part of the objective that waiting and the usual time to the first event may
 * take together. The rest is kept for first events that take longer than usual.
 */
const START_OBJECTIVE_FRACTION = 0.5;

const NONE_FULL: ReadonlySet<string> = new Set();

/** Whether a request can no longer be in time. */
export function isLate(
  request: Pick<
    AdmissionRequest,
    "objectiveMilliseconds" | "elapsedMilliseconds" | "spentBefore"
  >,
): boolean {
  const spent = request.elapsedMilliseconds + request.spentBefore;
  return spent > request.objectiveMilliseconds;
}

/**
 * Decides whether a request starts, waits or is refused. Where the load is not
 * known, because no answer was measured yet, the request starts: a runner that
 * is full refuses it, whereas a request that is held back for nothing is late.
 */
export function decideAdmission(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
): AdmissionDecision {
  const { runners, answerMilliseconds: answer } = snapshot;
  if (runners.length === 0) return decideAtStandstill(snapshot, request);
  if (answer === undefined || answer <= 0)
    return { kind: "start", full: NONE_FULL };
  const late = isLate(request);
  const longestWait = longestWaitMilliseconds(
    snapshot,
    request.objectiveMilliseconds,
  );
  const longestQueueing = longestWaitMilliseconds(
    snapshot,
    snapshot.shortestObjectiveMilliseconds,
  );
  const queueOf = (slots: number) =>
    late ? 0 : Math.floor((slots * longestQueueing) / answer);
  const isFull = ({ slots, outstanding }: RunnerCapacity) =>
    outstanding >= slots + queueOf(slots);
  const inputs = inputsOf(snapshot, request, queueOf);
  const limit = inputs.capacity + inputs.queuePlaces;
  const used = inputs.inProgress + inputs.reserved;
  const full = runners.filter(isFull);
  const reason = obstacleOf(snapshot, {
    inputs,
    isEveryRunnerFull: full.length === runners.length,
    free: limit - inputs.reserved - snapshot.inProgressAtReport,
    fits: used < limit,
    fitsUnreserved: inputs.inProgress < limit,
  });
  if (reason === undefined) {
    const identifiers = full.map(({ identifier }) => identifier);
    return { kind: "start", full: new Set(identifiers) };
  }
  const rate = freeRate(snapshot, request);
  const waitMilliseconds =
    rate > 0 ? (waitingAhead(snapshot, request, late) + 1) / rate : Infinity;
  const remaining = Math.max(
    longestWait - request.elapsedMilliseconds,
    request.graceMilliseconds,
  );
  const isHopeless = !request.isWaiting && waitMilliseconds > remaining;
  if (remaining <= 0 || isHopeless) {
    return {
      kind: "refuse",
      reason,
      ...returnOf(snapshot, request),
      inputs,
    };
  }
  return { kind: "wait", reason, milliseconds: remaining, inputs };
}

/**
 * Whether more slots are free than the requests that wait, and those that are
 * about to arrive at other entries, need. Their number varies by its square
 * root.
 */
export function isPlenty(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
): boolean {
  const inputs = inputsOf(snapshot, request, () => 0);
  const { capacity, inProgress, reserved } = inputs;
  let waiting = 0;
  for (const item of snapshot.demand.values()) waiting += item.waiting;
  const needed = inProgress + reserved + waiting + Math.sqrt(capacity);
  return needed < capacity;
}

/**
 * When capacity is expected for a refused request on its return. It is late
 * then, and gets what requests in time leave.
 */
function returnOf(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
): { waitMilliseconds: number; requestsPerMillisecond: number } {
  const returning = { ...request, spentBefore: Infinity };
  const rate = freeRate(snapshot, returning);
  const ahead = waitingAhead(snapshot, returning, true) + 1;
  return {
    waitMilliseconds: rate > 0 ? ahead / rate : Infinity,
    requestsPerMillisecond: rate * snapshot.entryShare,
  };
}

/** Refuses a request whose account asks for more than its share. */
export function refuseForShare(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
): Extract<AdmissionDecision, { kind: "refuse" }> {
  return {
    kind: "refuse",
    reason: AdmissionReason.AccountShare,
    ...returnOf(snapshot, request),
    inputs: inputsOf(snapshot, request, () => 0),
  };
}

/** Why a request may not start now; `undefined` if it may. */
function obstacleOf(
  snapshot: ServiceSnapshot,
  parameters: {
    inputs: AdmissionInputs;
    isEveryRunnerFull: boolean;
    free: number;
    fits: boolean;
    fitsUnreserved: boolean;
  },
): AdmissionReason | undefined {
  const { inputs, isEveryRunnerFull, free } = parameters;
  if (!parameters.fitsUnreserved || isEveryRunnerFull)
    return AdmissionReason.NoCapacity;
  if (!parameters.fits)
    return inputs.late ? AdmissionReason.Late : AdmissionReason.Reserved;
  const allowance = Math.max(1, Math.floor(free * snapshot.entryShare));
  return snapshot.startedSinceReport < allowance
    ? undefined
    : AdmissionReason.EntryShare;
}

/**
 * A request waits for runners that stand still until its own limit, and then
 * starts: the forwarding path tries what runners there are, or refuses it. It
 * also starts if no runner can be waited for.
 */
function decideAtStandstill(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
): AdmissionDecision {
  const { maxStandstillMilliseconds, elapsedMilliseconds } = request;
  const milliseconds = maxStandstillMilliseconds - elapsedMilliseconds;
  if (milliseconds <= 0 || !snapshot.mayReturn)
    return { kind: "start", full: NONE_FULL };
  return {
    kind: "wait",
    reason: AdmissionReason.Standstill,
    milliseconds,
    inputs: inputsOf(snapshot, request, () => 0),
  };
}

/** Longest time from its arrival after which a request still starts in time. */
function longestWaitMilliseconds(
  snapshot: ServiceSnapshot,
  objectiveMilliseconds: number,
): number {
  const latestStart = objectiveMilliseconds * START_OBJECTIVE_FRACTION;
  return Math.max(0, latestStart - (snapshot.firstEventMilliseconds ?? 0));
}

function inputsOf(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
  queueOf: (slots: number) => number,
): AdmissionInputs {
  const { runners, knownShare, demand, starting } = snapshot;
  const late = isLate(request);
  let capacity = 0;
  let queuePlaces = 0;
  let inProgress = starting;
  for (const { slots, outstanding } of runners) {
    capacity += slots;
    queuePlaces += queueOf(slots);
    inProgress += outstanding;
  }
  let arrivalsPerMillisecond = 0;
  for (const item of demand.values())
    arrivalsPerMillisecond += item.arrivalsPerMillisecond;
  return {
    capacity: capacity * knownShare,
    queuePlaces: queuePlaces * knownShare,
    inProgress,
    reserved: reservedFor(snapshot, request, late),
    arrivalsPerSecond: arrivalsPerMillisecond * 1_000,
    late,
  };
}

/**
 * Whether requests of urgency `other` come before a request. Those in time of
 * every urgency come before a request that is late.
 */
function comesBefore(
  other: number,
  { urgency }: AdmissionRequest,
  late: boolean,
): boolean {
  return late || other < urgency;
}

/**
 * Capacity that a request leaves to those that come before it: what their
 * arrivals need in the long run, less what they have already.
 */
function reservedFor(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
  late: boolean,
): number {
  const { demand, answerMilliseconds = 0 } = snapshot;
  let reserved = 0;
  for (const [urgency, item] of demand) {
    if (!comesBefore(urgency, request, late)) continue;
    const mean = item.arrivalsPerMillisecond * answerMilliseconds;
    // Their number varies by its square root, as arrivals are independent.
    const needed = mean + Math.sqrt(mean);
    reserved += Math.max(item.waiting, needed - item.running);
  }
  return reserved;
}

/**
 * Requests per millisecond, at all entries, for which capacity becomes free
 * that those before the request do not take; 0 if none does, or if no answer
 * was measured.
 */
export function freeRate(
  snapshot: ServiceSnapshot,
  request: AdmissionRequest,
  oversubscription = 1,
): number {
  const { runners, knownShare, demand, answerMilliseconds = 0 } = snapshot;
  if (answerMilliseconds <= 0) return 0;
  const late = isLate(request);
  const slots = runners.reduce((sum, runner) => sum + runner.slots, 0);
  let rate = (slots * knownShare * oversubscription) / answerMilliseconds;
  for (const [urgency, item] of demand) {
    if (comesBefore(urgency, request, late))
      rate -= item.arrivalsPerMillisecond;
  }
  return Math.max(0, rate);
}

/** Waiting requests at all entries that come before a new request. */
function waitingAhead(
  { demand }: ServiceSnapshot,
  request: AdmissionRequest,
  late: boolean,
): number {
  let ahead = 0;
  for (const [urgency, { waiting }] of demand) {
    const isAhead =
      urgency === request.urgency || comesBefore(urgency, request, late);
    if (isAhead) ahead += waiting;
  }
  return ahead;
}
