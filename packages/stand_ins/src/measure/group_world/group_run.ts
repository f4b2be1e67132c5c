import * as common from "@geraniumkeel/common";
import * as virtualTime from "../virtual_time.ts";
import type * as deployment from "./deployment.ts";
import * as groupEngines from "./group_engines.ts";
import * as likedExperts from "./liked_experts.ts";

/** A day of one group. */
export interface GroupDay {
  size: deployment.GroupDeployment;
  seed: number;
  lengthMilliseconds: number;
  requestsPerSecond: (now: number) => number;
  /** Time between two shifts of what is liked, and the part that changes. */
  shiftMilliseconds: number;
  shiftedPart: number;
}

/** What decides on the map while a day is played. */
export interface MapPolicy {
  /** Told of each pass that begins. */
  onPass: (engines: groupEngines.GroupEngines, now: number) => void;
}

/** What decides when requests go to the group. */
export interface RoomPolicy {
  /** A request has come to its entry. */
  onArrival: (request: groupEngines.GroupRequest, now: number) => void;
  /** An event of a request has come back to its entry. */
  onEvent: (request: groupEngines.GroupRequest, now: number) => void;
}

/** How a request ended. */
export interface RequestEnd {
  request: groupEngines.GroupRequest;
  firstMilliseconds: number;
  longestGap: number;
}

/** What a day came to. */
export interface DayFigures {
  requests: number;
  /** Part of the requests with the first event and all gaps in time. */
  inTime: number;
  lateFirst: number;
  lateGap: number;
  /** Parts that were never answered: refused, or their caller has left. */
  lost: number;
  /** Mean of what an answer in time is worth 1 and a late one a quarter. */
  credit: number;
  skew: number;
  longestPass: number;
  passMedian: number;
}

const OBJECTIVE_MILLISECONDS = 400;
const GAP_MILLISECONDS = 120;
/** Silence after which a caller leaves. */
const SILENCE_MILLISECONDS = 2_000;
const LATE_WORTH = 0.25;
/** Time for an event to reach its entry. */
const WAY_MILLISECONDS = 1.5;

/** One day of a group, in virtual time. */
export class GroupRun {
  readonly time = new virtualTime.VirtualTime();
  readonly random: common.Random;
  readonly liked: likedExperts.LikedExperts;
  readonly engines: groupEngines.GroupEngines;
  readonly #requests: groupEngines.GroupRequest[] = [];
  readonly #skews: number[] = [];
  readonly passes: number[] = [];
  map: MapPolicy | undefined;
  room: RoomPolicy | undefined;

  constructor(readonly day: GroupDay) {
    this.random = new common.Random(day.seed);
    this.liked = new likedExperts.LikedExperts(day.size, this.random);
    this.engines = new groupEngines.GroupEngines(day.size, this.liked);
  }

  /** Plays the day. */
  async play(): Promise<DayFigures> {
    const { day, time } = this;
    this.#arrive();
    time.schedule(day.shiftMilliseconds * 0.8, () => this.#shift());
    time.schedule(0, () => this.#pass());
    await time.run(day.lengthMilliseconds);
    return this.#figures();
  }

  #arrive(): void {
    const { day, time } = this;
    const now = time.clock();
    const rate = day.requestsPerSecond(now) / 1_000;
    const gap = this.random.exponential(1 / Math.max(rate, 1e-6));
    time.schedule(now + gap, () => {
      const at = time.clock();
      const request = groupEngines.drawRequest(
        at,
        day.size,
        this.liked,
        this.random,
      );
      this.#requests.push(request);
      this.room?.onArrival(request, at);
      this.#arrive();
    });
  }

  #shift(): void {
    this.liked.shift(this.day.shiftedPart);
    const next = this.time.clock() + this.day.shiftMilliseconds;
    this.time.schedule(next, () => this.#shift());
  }

  #pass(): void {
    const { time, engines } = this;
    const now = time.clock();
    this.#leaveOut(now);
    const { writers, readers } = engines.begin(now);
    this.map?.onPass(engines, now);
    const idle = engines.active === 0;
    const length = idle ? 2 : engines.passMilliseconds;
    if (!idle) {
      this.passes.push(length);
      this.#skews.push(engines.skew);
    }
    time.schedule(now + length, () => {
      for (const request of [...readers, ...writers]) this.#event(request);
      this.#pass();
    });
  }

  #event(request: groupEngines.GroupRequest): void {
    const now = this.time.clock();
    request.events.push(now);
    request.eventsLeft--;
    if (request.eventsLeft === 0) this.#remove(request);
    this.time.schedule(now + WAY_MILLISECONDS, () =>
      this.room?.onEvent(request, now + WAY_MILLISECONDS),
    );
  }

  #remove(request: groupEngines.GroupRequest): void {
    const running = this.engines.running[request.rank];
    const place = running.indexOf(request);
    if (place >= 0) running.splice(place, 1);
  }

  /** Callers that have heard nothing for too long are gone. */
  #leaveOut(now: number): void {
    const gone = (request: groupEngines.GroupRequest) =>
      request.events.length === 0 &&
      now - request.arrivedAt > SILENCE_MILLISECONDS;
    this.engines.running.forEach((running, rank) => {
      this.engines.running[rank] = running.filter((one) => !gone(one));
      const waiting = this.engines.waiting[rank];
      this.engines.waiting[rank] = waiting.filter((one) => !gone(one));
    });
  }

  #figures(): DayFigures {
    const ended = this.#requests.filter(
      ({ arrivedAt, events, eventsLeft }) =>
        eventsLeft === 0 ||
        (events.length === 0 &&
          arrivedAt < this.day.lengthMilliseconds - SILENCE_MILLISECONDS),
    );
    let inTime = 0;
    let lateFirst = 0;
    let lateGap = 0;
    let lost = 0;
    for (const request of ended) {
      const { events, arrivedAt } = request;
      if (events.length === 0) {
        lost++;
        continue;
      }
      const first = events[0] - arrivedAt;
      const longest = events
        .slice(1)
        .reduce((most, at, index) => Math.max(most, at - events[index]), 0);
      if (first > OBJECTIVE_MILLISECONDS) lateFirst++;
      else if (longest > GAP_MILLISECONDS) lateGap++;
      else inTime++;
    }
    const count = Math.max(1, ended.length);
    const passes = [...this.passes].sort((left, right) => left - right);
    return {
      requests: ended.length,
      inTime: inTime / count,
      lateFirst: lateFirst / count,
      lateGap: lateGap / count,
      lost: lost / count,
      credit: (inTime + LATE_WORTH * (lateFirst + lateGap)) / count,
      skew:
        this.#skews.reduce((sum, skew) => sum + skew, 0) /
        Math.max(1, this.#skews.length),
      longestPass: passes.at(-1) ?? 0,
      passMedian: passes[passes.length >> 1] ?? 0,
    };
  }
}
