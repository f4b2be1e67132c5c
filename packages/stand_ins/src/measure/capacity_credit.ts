import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as accountLimits from "@geraniumkeel/daemon/admission/account_limits";
import * as entryList from "@geraniumkeel/daemon/entry/entry_list";
import * as configuration from "@geraniumkeel/configuration";
import * as statistics from "./statistics.ts";
import * as usedHeap from "./used_heap.ts";

const ENTRIES = 330;
const REGIONS = 4;
const ACCOUNTS = 12_000;
const REQUESTS_PER_SECOND = 2_400;
/** Time after which a link without use is closed. */
const WINDOW_SECONDS = 60;
const HOME_SAMPLES = 40;
const OWNED_COUNTS = [1_000, 4_000, 12_000];
const LOANS = 20_000;

/** How callers are spread over entries. */
enum Spread {
  AnyEntry = "any entry",
  Homes = "home entries of the account",
}

/** Borrowing of one entry at the target's size. */
export interface CreditLoad {
  /** Requests whose credit has to come from another entry. */
  loansPerSecondEach: number;
  /** Other entries that one entry lends to or borrows from in a minute. */
  partnersEach: number;
}

/** What owning an account costs. */
export interface OwnerSlopes {
  bytesPerAccount: number;
  error: number;
  points: { x: number; y: number }[];
  microsecondsPerLoan: number;
  /** Of the request and the grant together. */
  bytesPerLoan: number;
}

/** What the credit of accounts costs. */
export interface CreditSlopes {
  /** With callers at any entry, for comparison. */
  spread: CreditLoad;
  /** With callers at their account's homes, as the product tells them. */
  homes: CreditLoad;
  owner: OwnerSlopes;
}

/** What the credit of accounts costs, by how callers are spread. */
export function measureCredit(): CreditSlopes {
  return {
    spread: borrowing(Spread.AnyEntry),
    homes: borrowing(Spread.Homes),
    owner: measureOwner(),
  };
}

/** A minute of requests, each at the entry that its caller is told. */
function borrowing(spread: Spread): CreditLoad {
  const random = new common.Random(1);
  const members = Array.from({ length: ENTRIES }, (_, index) => member(index));
  const hosts = members.map(({ host }) => host);
  const weights = Array.from({ length: ACCOUNTS }, () => random.pareto(1, 1.2));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const pairs = new Set<string>();
  let loans = 0;
  weights.forEach((weight, index) => {
    const share = weight / total;
    const name = `account-${index}`;
    const owner = common.rendezvous(name, hosts);
    const region = index % REGIONS;
    const homes =
      spread === Spread.AnyEntry
        ? hosts
        : homesOf({ name, share }, members, region, random);
    const expected = share * REQUESTS_PER_SECOND * WINDOW_SECONDS;
    const requests = Math.floor(expected + random.fraction());
    for (let count = 0; count < requests; count++) {
      const entry = random.pick(homes);
      if (entry === owner || owner === undefined) continue;
      loans++;
      pairs.add([entry, owner].sort().join(" "));
    }
  });
  return {
    loansPerSecondEach: statistics.round(loans / WINDOW_SECONDS / ENTRIES),
    partnersEach: statistics.round((2 * pairs.size) / ENTRIES),
  };
}

/** Entries that an account's callers are told to use first. */
function homesOf(
  account: { name: string; share: number },
  members: wire.Member[],
  region: number,
  random: common.Random,
): string[] {
  const isNear = (host: string) => regionOf(host) === region;
  const byUrl = new Map(members.map((one) => [one.callerUrl, one.host]));
  const homes = new Set<string>();
  for (let sample = 0; sample < HOME_SAMPLES; sample++) {
    const list = entryList.entryList({
      members,
      account,
      isEvacuated: () => false,
      isNear,
      random,
    });
    homes.add(byUrl.get(list.entries[0].url) ?? "");
    // A small account has one home; asking again would tell the same.
    if (sample === 2 && homes.size === 1) break;
  }
  return [...homes];
}

/** Memory of an owned account, and time to lend from it. */
function measureOwner(): OwnerSlopes {
  const points = OWNED_COUNTS.map((count) => {
    const { bytes } = ownAccounts(count);
    return { x: count, y: bytes };
  });
  const fit = statistics.fitLine(points);
  const { limits, request } = ownAccounts(OWNED_COUNTS[0]);
  const started = performance.now();
  for (let loan = 0; loan < LOANS; loan++) {
    limits.handle("other", request(loan % OWNED_COUNTS[0]));
  }
  const microseconds = ((performance.now() - started) * 1_000) / LOANS;
  return {
    bytesPerAccount: statistics.round(fit.slope),
    error: statistics.round(fit.error),
    points,
    microsecondsPerLoan: statistics.round(microseconds),
    bytesPerLoan:
      wire.encode(request(0)).byteLength + wire.encode(grant()).byteLength,
  };
}

function ownAccounts(count: number): {
  bytes: number;
  limits: accountLimits.AccountLimits;
  request: (index: number) => wire.Message;
} {
  const account = (name: string): configuration.Account => ({
    name,
    keyHash: "",
    requestsPerSecond: 5,
    tokensPerSecond: 1_000,
    burstSeconds: 2,
    weight: 1,
  });
  const names = Array.from({ length: count }, (_, index) => `account-${index}`);
  const request = (index: number): wire.Message => ({
    kind: wire.MessageKind.CreditRequest,
    account: names[index],
    requests: 1,
    tokens: 100,
    wantedRequests: 2,
    wantedTokens: 200,
  });
  const before = usedHeap.usedHeap();
  const limits = new accountLimits.AccountLimits({
    self: "self",
    entries: () => ["self"],
    account,
    limitScale: () => 1,
    send: async () => true,
    onFailure: (cause) => {
      throw cause;
    },
  });
  for (let index = 0; index < count; index++) {
    limits.handle("other", request(index));
  }
  return { bytes: usedHeap.usedHeap() - before, limits, request };
}

function grant(): wire.Message {
  return {
    kind: wire.MessageKind.CreditGrant,
    account: "account-1",
    requests: 1,
    tokens: 150,
    retryAfter: 0,
  };
}

function member(index: number): wire.Member {
  return {
    host: `entry-host-${index}`,
    incarnation: "",
    place: `place-${index % 9}`,
    callerUrl: `https://entry-host-${index}`,
    peerUrl: "",
    state: wire.MemberState.Alive,
    counter: 1,
    revision: 1,
    weight: 1,
  };
}

function regionOf(host: string): number {
  return Number(host.split("-").at(-1)) % REGIONS;
}
