import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as peerLoads from "./peer_loads.ts";
import * as urgencyQueue from "./urgency_queue.ts";

/** Resolution of the virtual time. */
const STEP_MILLISECONDS = 5;
const CHECK_INTERVAL_MILLISECONDS = 25;
/** Range of the delay of callers that no time of return is expected for. */
const UNKNOWN_RETURN_MILLISECONDS = [1_600, 2_560] as const;
/** Time without a message after which a link is closed. */
const SILENT_LINK_MILLISECONDS = 1_500;

/** A stream of requests of one urgency. */
export interface RouteLoad {
  urgency: number;
  objectiveMilliseconds: number;
  /** Requests per second at all entries together, at a time. */
  perSecond: (at: number) => number;
  account?: (random: common.Random) => string;
}

/** A load on a service, and the service. */
export interface LoadSetup {
  routes: RouteLoad[];
  entries?: number;
  runners?: number;
  slots?: number;
  durationMilliseconds: number;
  answerMilliseconds?: number;
  firstEventMilliseconds?: number;
  /** Whether the runners refuse all requests at a time. */
  standsStill?: (at: number) => boolean;
  /** Runners that may receive requests at a time. */
  usableRunners?: (at: number) => number;
  /** Whether reports and requests in progress reach the other entries. */
  linked?: (at: number) => boolean;
  /** Whether a refused caller comes back once, at the time that it was told. */
  callersReturn?: boolean;
  /** Entry at which a request arrives. */
  entryOf?: (random: common.Random, at: number, account: string) => number;
  /** Account whose refused callers come back several times, and early. */
  impatientAccount?: string;
  earlyReturns?: number;
}

/** What became of one request. */
export interface LoadRecord {
  urgency: number;
  account: string;
  arrivedAt: number;
  isReturn: boolean;
  /** When a runner began to process it; `undefined` if it never did. */
  startedAt: number | undefined;
  inTime: boolean;
  refusedAt: number | undefined;
  reason: string;
  retryAfterMilliseconds: number;
}

interface Running {
  record: LoadRecord;
  entry: number;
  runner: number;
  place: urgencyQueue.Place;
  objectiveMilliseconds: number;
  firstEventAt: number;
  endsAt: number;
}

/**
 * Drives the queues of several entries with a load in virtual time. Runners
 * process as many requests as they have slots, in order of arrival; entries
 * exchange reports and requests in progress each report interval.
 */
export async function runLoad(setup: LoadSetup): Promise<LoadRecord[]> {
  const { entries = 3, runners = 4, slots = 8 } = setup;
  const { answerMilliseconds = 400, firstEventMilliseconds = 40 } = setup;
  const random = new common.Random(7);
  let now = 0;
  const clock = () => now;
  const records: LoadRecord[] = [];
  const running: Running[] = [];
  const counts = Array.from({ length: entries }, () =>
    Array.from({ length: runners }, () => 0),
  );
  let reported = counts.map((row) => [...row]);
  const standsStill = () => setup.standsStill?.(now) ?? false;
  const usable = () => setup.usableRunners?.(now) ?? runners;
  const linked = () => setup.linked?.(now) ?? true;
  let linkedAt = 0;
  const outstanding = (entry: number, runner: number) =>
    reported.reduce(
      (sum, row, other) =>
        sum + (other === entry ? counts[entry][runner] : row[runner]),
      0,
    );
  const peers = counts.map(
    () => new peerLoads.PeerLoads({ clock, entryCount: () => entries }),
  );
  const queues = counts.map(
    (_, entry) =>
      new urgencyQueue.UrgencyQueue({
        service: "s",
        clock,
        peers: peers[entry],
        shortestObjectiveMilliseconds: () =>
          Math.min(...setup.routes.map((route) => route.objectiveMilliseconds)),
        capacity: () => ({
          runners: standsStill()
            ? []
            : Array.from({ length: usable() }, (__, runner) => ({
                identifier: String(runner),
                slots,
                outstanding: outstanding(entry, runner),
              })),
          mayReturn: true,
          mayProbe: false,
        }),
      }),
  );

  const start = (
    record: LoadRecord,
    entry: number,
    place: urgencyQueue.Place,
    objectiveMilliseconds: number,
    firstAt: number,
  ) => {
    let runner = -1;
    for (let index = 0; index < usable(); index++) {
      if (place.full.has(String(index))) continue;
      const isBest =
        runner < 0 || outstanding(entry, index) < outstanding(entry, runner);
      if (isBest) runner = index;
    }
    const hadFreeSlot = outstanding(entry, runner) < slots;
    const queued = running.filter((item) => item.runner === runner);
    const ends = queued.map(({ endsAt }) => endsAt).sort((a, b) => a - b);
    const startedAt = queued.length < slots ? now : ends[queued.length - slots];
    counts[entry][runner]++;
    queues[entry].noteAtRunner(place);
    const firstEventAt = startedAt + firstEventMilliseconds;
    record.startedAt = startedAt;
    record.inTime = firstEventAt - firstAt <= objectiveMilliseconds;
    const endsAt = startedAt + answerMilliseconds * random.between(0.5, 1.5);
    running.push({
      ...{ record, entry, runner, place, objectiveMilliseconds },
      ...{ firstEventAt, endsAt },
    });
    if (hadFreeSlot) queues[entry].noteFirstEvent(firstEventAt - now);
  };

  const returns: { at: number; send: () => void }[] = [];
  const send = (route: RouteLoad, account: string, firstAt: number) => {
    const { urgency, objectiveMilliseconds } = route;
    const entry =
      setup.entryOf?.(random, now, account) ?? random.below(entries);
    const arrivedAt = now;
    const spentBefore = now - firstAt;
    const isReturn = spentBefore > 0;
    const record: LoadRecord = {
      ...{ urgency, account, arrivedAt, isReturn, startedAt: undefined },
      ...{
        inTime: false,
        refusedAt: undefined,
        ...{ reason: "" },
        reason: "",
        retryAfterMilliseconds: 0,
      },
    };
    records.push(record);
    const apply = (outcome: urgencyQueue.AdmissionOutcome) => {
      if (outcome.kind === "start")
        start(record, entry, outcome.place, objectiveMilliseconds, firstAt);
      if (outcome.kind !== "refuse") return;
      const { retryAfterMilliseconds } = outcome.refusal;
      record.refusedAt = now;
      record.reason = outcome.refusal.reason;
      record.retryAfterMilliseconds = retryAfterMilliseconds;
      if (!setup.callersReturn || isReturn) return;
      const delay =
        retryAfterMilliseconds ||
        random.between(...UNKNOWN_RETURN_MILLISECONDS);
      const tries =
        account === setup.impatientAccount ? (setup.earlyReturns ?? 1) : 1;
      for (let index = 1; index <= tries; index++) {
        const at = now + (delay * index) / tries;
        returns.push({ at, send: () => send(route, account, firstAt) });
      }
    };
    const entered = queues[entry].enter({
      ...{ urgency, account, objectiveMilliseconds, arrivedAt, spentBefore },
      isReturning: isReturn,
      maxStandstillMilliseconds: 1_500,
      millisecondsLeft: () => 8_000 - (now - firstAt),
      signals: [],
    });
    if (entered instanceof Promise) void entered.then(apply);
    else apply(entered);
  };
  const endFinished = async () => {
    for (const item of running.filter(({ endsAt }) => endsAt <= now)) {
      running.splice(running.indexOf(item), 1);
      counts[item.entry][item.runner]--;
      queues[item.entry].noteStream(now - item.firstEventAt);
      queues[item.entry].release(item.place);
      await flush();
    }
  };

  const due = setup.routes.map(() => 0);
  while (now < setup.durationMilliseconds) {
    now += STEP_MILLISECONDS;
    await endFinished();
    if (now % urgencyQueue.REPORT_INTERVAL_MILLISECONDS === 0) {
      if (linked()) linkedAt = now;
      // A silent link is closed, and the counts of its peer are dropped.
      if (now - linkedAt > SILENT_LINK_MILLISECONDS)
        reported = counts.map((row) => row.map(() => 0));
      if (linked()) reported = counts.map((row) => [...row]);
      const reports = queues.map((queue) => queue.report());
      await flush();
      for (const [entry, report] of reports.entries()) {
        for (const [other, peer] of peers.entries()) {
          if (other === entry || !linked()) continue;
          const kind = wire.MessageKind.MeshLoad;
          peer.receive({ kind, services: [report] }, String(entry));
        }
      }
    }
    if (now % CHECK_INTERVAL_MILLISECONDS === 0) {
      for (const queue of queues) queue.letIn();
      await flush();
    }
    for (const item of returns.filter(({ at }) => at <= now)) {
      returns.splice(returns.indexOf(item), 1);
      item.send();
    }
    for (const [index, route] of setup.routes.entries()) {
      due[index] += (route.perSecond(now) * STEP_MILLISECONDS) / 1_000;
      for (; due[index] >= 1; due[index]--)
        send(route, route.account?.(random) ?? "a", now);
    }
  }
  return records;
}

/** Lets requests that were let in go on. */
function flush(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Share of the requests of an urgency that arrived in a span and were in time. */
export function shareInTime(
  records: LoadRecord[],
  urgency: number,
  [from, to]: [number, number],
): number {
  const offered = records.filter(
    (record) =>
      record.urgency === urgency &&
      !record.isReturn &&
      record.arrivedAt >= from &&
      record.arrivedAt < to,
  );
  return offered.filter(({ inTime }) => inTime).length / offered.length;
}
