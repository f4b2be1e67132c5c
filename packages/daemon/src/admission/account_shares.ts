import * as wire from "@geraniumkeel/wire";
import type * as peerLoads from "./peer_loads.ts";
import * as rateWindow from "./rate_window.ts";

/**
 * Window over which the arrivals of an account are counted. At 80 requests a
 * second from 24 equal accounts it has 13 of each, enough for a stable rate.
 */
const DEMAND_WINDOW_MILLISECONDS = 4_000;
/** Requests that an account may send at once after it sent fewer than its share. */
const MAX_CREDIT = 2;
/**
 * Time after a request that was not started at once in which the demand of the
 * accounts is reported. Without shortage, reports need not contain it.
 */
const SHORTAGE_MILLISECONDS = 2_000;
/** How long an expected return is kept after its time has passed. */
const RETURN_RETENTION_MILLISECONDS = 1_000;
/** How much before the time that it was told a caller may come back. */
const EARLY_TOLERANCE_MILLISECONDS = 50;
/** Expected returns kept for each account and urgency; bounds memory. */
const MAX_EXPECTED_RETURNS = 64;

interface AccountState {
  readonly account: string;
  readonly urgency: number;
  readonly arrivals: rateWindow.RateWindow;
  /** Requests that may start although the account asks for more than its share. */
  credit: number;
  /** Times at which refused callers are to come back. */
  expectedReturns: number[];
}

/** The shares of one urgency in force until the next report. */
interface SharesInForce {
  /** Requests per millisecond that the accounts ask for at all entries. */
  demand: ReadonlyMap<string, number>;
  /** Largest share, in requests per millisecond; infinite without shortage. */
  level: number;
}

/**
 * Max-min fair shares of the accounts in one service's capacity. Under shortage,
 * each entry starts the same fraction of an account's requests: the account's
 * share over what it asks for at all entries. So the shares hold over all entries
 * without agreement, also for an account whose requests all arrive at one.
 */
export class AccountShares {
  readonly #states = new Map<string, AccountState>();
  readonly #inForce = new Map<number, SharesInForce>();
  #shortageAt = -Infinity;

  constructor(
    readonly parameters: {
      service: string;
      clock: () => number;
      peers: peerLoads.PeerLoads;
    },
  ) {}

  /** Counts a request that arrives. */
  noteArrival(account: string, urgency: number): void {
    this.#stateOf(account, urgency).arrivals.count();
  }

  /** Notes that a request was not started at once. */
  noteShortage(): void {
    this.#shortageAt = this.parameters.clock();
  }

  /**
   * Whether a request may take capacity by its account's share. Every request
   * that arrives adds to the share; only one that takes capacity is charged, by
   * `charge`. If refused ones were charged, capacity would be left unused.
   * `capacityRate` is the rate at which capacity for its urgency becomes free at
   * all entries, in requests per millisecond.
   */
  mayStart(account: string, urgency: number, capacityRate: number): boolean {
    const shares = this.#sharesFor(urgency, capacityRate);
    const demand = shares.demand.get(account) ?? 0;
    const state = this.#stateOf(account, urgency);
    if (demand <= shares.level) {
      state.credit = MAX_CREDIT;
      return true;
    }
    state.credit = Math.min(MAX_CREDIT, state.credit + shares.level / demand);
    return state.credit >= 1;
  }

  /** Charges a request to its account's share. */
  charge(account: string, urgency: number): void {
    const state = this.#stateOf(account, urgency);
    state.credit = Math.max(-MAX_CREDIT, state.credit - 1);
  }

  /** Notes when a refused caller of an account is to come back. */
  noteExpectedReturn(
    account: string,
    urgency: number,
    delayMilliseconds: number,
  ): void {
    const { expectedReturns } = this.#stateOf(account, urgency);
    if (expectedReturns.length >= MAX_EXPECTED_RETURNS) expectedReturns.shift();
    expectedReturns.push(this.parameters.clock() + delayMilliseconds);
  }

  /**
   * Notes that a caller of an account comes back, and returns whether it does so
   * at a time that it was told. One that comes back earlier is charged to the
   * account's share. A caller that another entry refused is not known here, and
   * counts as on time.
   */
  noteReturn(account: string, urgency: number): boolean {
    const state = this.#stateOf(account, urgency);
    const now = this.parameters.clock();
    const oldest = now - RETURN_RETENTION_MILLISECONDS;
    state.expectedReturns = state.expectedReturns.filter(
      (told) => told >= oldest,
    );
    if (state.expectedReturns.length === 0) return true;
    const first = Math.min(...state.expectedReturns);
    state.expectedReturns.splice(state.expectedReturns.indexOf(first), 1);
    const isOnTime = first <= now + EARLY_TOLERANCE_MILLISECONDS;
    if (!isOnTime) this.charge(account, urgency);
    return isOnTime;
  }

  /**
   * The accounts that ask for most here, for the report to the others; none
   * without shortage. Ends the shares in force, and forgets idle accounts.
   */
  report(): wire.AccountDemand[] {
    this.#inForce.clear();
    const now = this.parameters.clock();
    const oldest = now - RETURN_RETENTION_MILLISECONDS;
    const demands: wire.AccountDemand[] = [];
    for (const [key, { account, urgency, arrivals, expectedReturns }] of this
      .#states) {
      const arrivalsPerSecond = arrivals.perMillisecond * 1_000;
      if (arrivalsPerSecond > 0)
        demands.push({ account, urgency, arrivalsPerSecond });
      else if (expectedReturns.every((told) => told < oldest))
        this.#states.delete(key);
    }
    if (now - this.#shortageAt > SHORTAGE_MILLISECONDS) return [];
    demands.sort(
      (left, right) => right.arrivalsPerSecond - left.arrivalsPerSecond,
    );
    return demands.slice(0, wire.MAX_REPORTED_ACCOUNTS);
  }

  #sharesFor(urgency: number, capacityRate: number): SharesInForce {
    const existing = this.#inForce.get(urgency);
    if (existing) return existing;
    const { peers, service } = this.parameters;
    const demand = new Map(peers.accountsFor(service, urgency));
    for (const state of this.#states.values()) {
      if (state.urgency !== urgency) continue;
      const reported = demand.get(state.account) ?? 0;
      demand.set(state.account, reported + state.arrivals.perMillisecond);
    }
    // A single account shares with no other.
    const level =
      demand.size > 1
        ? fairLevel([...demand.values()], capacityRate)
        : Infinity;
    const created = { demand, level };
    this.#inForce.set(urgency, created);
    return created;
  }

  #stateOf(account: string, urgency: number): AccountState {
    const key = `${urgency} ${account}`;
    const existing = this.#states.get(key);
    if (existing) return existing;
    const { clock } = this.parameters;
    const created: AccountState = {
      account,
      urgency,
      arrivals: new rateWindow.RateWindow(DEMAND_WINDOW_MILLISECONDS, clock),
      credit: 1,
      expectedReturns: [],
    };
    this.#states.set(key, created);
    return created;
  }
}

/**
 * Largest share under max-min fairness: demands up to it are met in full, all
 * others get it. Infinite if the capacity suffices for all.
 */
export function fairLevel(demands: number[], capacity: number): number {
  const ascending = [...demands].sort((left, right) => left - right);
  let remaining = capacity;
  for (const [index, demand] of ascending.entries()) {
    const equalPart = remaining / (ascending.length - index);
    if (demand > equalPart) return Math.max(0, equalPart);
    remaining -= demand;
  }
  return Infinity;
}
