import * as chooseRunner from "@geraniumkeel/daemon/forwarding/choose_runner";
import type * as groupEngines from "./group_engines.ts";
import type * as groupRun from "./group_run.ts";

/** Age of what entries know of each other's requests at most. */
const BEAT_MILLISECONDS = 300;
/** How often requests whose callers have left are looked for. */
const LOOK_MILLISECONDS = 25;
/** Random part of a choice among all ranks, in requests. */
const JITTER = 0.7;

/** How entries choose the rank of a request. */
export enum ChoiceKind {
  /** As the product does. */
  Product = "product",
  /** The emptiest of all ranks, by the counts of the last beat. */
  OfAll = "of-all",
}

/** One entry: what it has under way, and what it told the others of that. */
class Entry {
  readonly own: number[];
  told: number[];

  constructor(ranks: number) {
    this.own = new Array<number>(ranks).fill(0);
    this.told = [...this.own];
  }
}

/** Entries that choose ranks by counts of each other that are a beat old. */
export class EntriesRoom implements groupRun.RoomPolicy {
  readonly #entries: Entry[];
  /** What all entries told of each rank. */
  #told: number[];
  readonly #underWay = new Map<groupEngines.GroupRequest, Entry>();

  constructor(
    readonly run: groupRun.GroupRun,
    readonly choice: ChoiceKind,
  ) {
    const { entries, ranks } = run.day.size;
    this.#entries = Array.from({ length: entries }, () => new Entry(ranks));
    this.#told = new Array<number>(ranks).fill(0);
    this.#every(BEAT_MILLISECONDS, () => this.#beat());
    this.#every(LOOK_MILLISECONDS, () => this.#look());
  }

  /** Sends a request from its entry. */
  onArrival(request: groupEngines.GroupRequest, now: number): void {
    const entry = this.#entries[request.entry];
    const rank = this.#choose(entry);
    entry.own[rank]++;
    this.#underWay.set(request, entry);
    this.run.engines.take(request, rank, now);
  }

  /** Notes ends. */
  onEvent(request: groupEngines.GroupRequest): void {
    const entry = this.#underWay.get(request);
    if (entry && request.eventsLeft === 0) this.#end(request, entry);
  }

  #every(milliseconds: number, act: () => void): void {
    const { time } = this.run;
    time.schedule(time.clock() + milliseconds, () => {
      act();
      this.#every(milliseconds, act);
    });
  }

  #beat(): void {
    for (const entry of this.#entries) entry.told = [...entry.own];
    this.#told = this.#told.map((_, rank) =>
      this.#entries.reduce((sum, { told }) => sum + told[rank], 0),
    );
  }

  #look(): void {
    for (const [request, entry] of this.#underWay) {
      if (!this.run.engines.has(request)) this.#end(request, entry);
    }
  }

  #end(request: groupEngines.GroupRequest, entry: Entry): void {
    entry.own[request.rank]--;
    this.#underWay.delete(request);
  }

  #choose(entry: Entry): number {
    const counts = entry.own.map(
      (own, rank) => own + this.#told[rank] - entry.told[rank],
    );
    switch (this.choice) {
      case ChoiceKind.Product:
        return this.#chooseAsProduct(counts);
      case ChoiceKind.OfAll:
        return this.#chooseOfAll(counts);
    }
  }

  #chooseAsProduct(counts: number[]): number {
    const { slots } = this.run.day.size;
    const views = counts.map((outstanding, rank) => ({
      identifier: String(rank),
      outstanding,
      slots,
      sameDataCentre: true,
      failureShare: 0,
      suspended: false,
      avoided: false,
    }));
    const chosen = chooseRunner.chooseRunner(views, this.run.random);
    return Number(chosen?.identifier);
  }

  #chooseOfAll(counts: number[]): number {
    const burdens = counts.map(
      (count) => count + this.run.random.between(0, JITTER),
    );
    return burdens.indexOf(Math.min(...burdens));
  }
}
