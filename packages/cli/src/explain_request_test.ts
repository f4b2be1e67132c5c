import * as ava from "ava";
import * as explainRequest from "./explain_request.ts";

const test = ava.default;

function lineOf(fields: Record<string, unknown>): string {
  const line = { time: "2026-01-01T00:00:01Z", host: "entry-1", ...fields };
  return `12.5 entry-1 ${JSON.stringify(line)}`;
}

function causeOf(...lines: Record<string, unknown>[]): string {
  const text = ["noise", ...lines.map(lineOf), '{"cut'].join("\n");
  const read = explainRequest.readLines(text);
  return explainRequest.explainRequest("q", read).cause;
}

const REFUSED = { msg: "ForwardRefused", request: "q", version: 7 };

test("a request refused under load names what its runners said", (t) => {
  const attempts = [
    { runner: "i-1", end: "not-run", reason: "status 503", milliseconds: 3 },
    { runner: "i-2", end: "not-run", reason: "status 503", milliseconds: 2 },
  ];
  const line = { msg: "Forwarded", request: "q", end: "not-run", attempts };
  t.regex(causeOf(line), /under load.*2 runners.*status 503/);
});

test("a request lost with its runner names the runner", (t) => {
  const attempts = [
    { runner: "i-1", end: "unknown", reason: "reset", milliseconds: 80 },
  ];
  const line = { msg: "Forwarded", request: "q", end: "unknown", attempts };
  t.regex(causeOf(line), /Lost with its runner: i-1.*reset/);
});

test("a request refused for an old configuration names age and store", (t) => {
  const store = {
    msg: "DocumentUnavailable",
    reason: "UND_ERR",
    time: "2026-01-01T00:00:00Z",
  };
  const line = { ...REFUSED, age: 4_300, reason: "keys may be old" };
  t.regex(causeOf(store, line), /old configuration.*4300 ms.*UND_ERR/);
});

test("a request refused by a fresh configuration names its version", (t) => {
  const line = { ...REFUSED, age: 300, reason: "no such key" };
  t.regex(causeOf(line), /configuration 7.*no such key/);
});

test("a request that nobody logged is said to be so", (t) => {
  t.regex(causeOf({ msg: "Forwarded", request: "other" }), /No process/);
});

// Guards against a search for one request where many different ones are refused.
test("a request with a part in quarantine names the part", (t) => {
  const time = "2026-01-01T00:00:00Z";
  const ends = [{ runner: "i-1", version: "1", seenBy: ["entry-1"] }];
  const fingerprint = "part:s:5c1e07a2";
  const cause = causeOf(
    { msg: "RequestQuarantined", fingerprint, time, ends },
    { msg: "Forwarded", request: "q", end: "quarantined", fingerprint },
  );
  t.regex(cause, /part:s:5c1e07a2 since .* while they ran requests with this/);
  t.regex(cause, /i-1 \(seen by entry-1\)/);
});

test("a request in quarantine names the runners that ended, and who saw it", (t) => {
  const ends = [
    { runner: "i-1", version: "1", seenBy: ["entry-1"] },
    { runner: "i-2", version: "1", seenBy: ["entry-2", "entry-3"] },
  ];
  const time = "2026-01-01T00:00:00Z";
  const cause = causeOf(
    { msg: "RequestQuarantined", fingerprint: "other", time, ends: [] },
    { msg: "RequestQuarantined", fingerprint: "f", time, ends },
    { msg: "Forwarded", request: "q", end: "quarantined", fingerprint: "f" },
  );
  t.regex(cause, /quarantine as f since 2026-01-01T00:00:00Z/);
  t.regex(cause, /i-1 \(seen by entry-1\), i-2 \(seen by entry-2, entry-3\)/);
});

test("a request that a rate limit refused leads to the runner and its limit", (t) => {
  const rateLimit = {
    runner: "i-1",
    perSecond: 0.5,
    share: 0,
    allocator: "e2",
    age: 40,
    wait: 1_900,
  };
  const forwarded = { msg: "Forwarded", request: "q", attempts: [], rateLimit };
  const cause = causeOf({ ...forwarded, end: "not-run" });
  t.regex(cause, /^Refused at a rate limit: turn after 1900 ms/);
  t.regex(cause, /rate limit of i-1, 0.5 a second .*e2 its share, as of 40 ms/);
  const warmUp = { ...rateLimit, source: "warm-up" };
  const cold = causeOf({ ...forwarded, end: "not-run", rateLimit: warmUp });
  t.regex(cold, /within the warm-up limit of i-1, 0.5 a second/);
});
