import type * as groupEngines from "./group_engines.ts";
import type * as groupRun from "./group_run.ts";

/** Sends each request at once to the emptiest rank, give or take. */
export class DirectRoom implements groupRun.RoomPolicy {
  constructor(readonly run: groupRun.GroupRun) {}

  /** Sends the request. */
  onArrival(request: groupEngines.GroupRequest, now: number): void {
    const { engines, random } = this.run;
    let best = 0;
    let least = Infinity;
    for (let rank = 0; rank < engines.size.ranks; rank++) {
      const load = engines.loadOf(rank) + random.between(0, 0.7);
      if (load < least) {
        least = load;
        best = rank;
      }
    }
    engines.take(request, best, now);
  }

  /** Nothing depends on what was seen. */
  onEvent(): void {}
}
