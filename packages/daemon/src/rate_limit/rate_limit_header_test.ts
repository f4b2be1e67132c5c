import * as ava from "ava";
import * as rateLimitHeader from "./rate_limit_header.ts";

const test = ava.default;

const NAMED: [string, number][] = [
  ["0.25", 0.25],
  ["1", 1],
  [" 37.5 ", 37.5],
  ["0", 0],
  ["1000000000", 1_000_000_000],
];

for (const [text, perSecond] of NAMED) {
  test(`a rate limit of ${JSON.stringify(text)} is read`, (t) => {
    const reading = rateLimitHeader.readRateLimit(text);
    t.deepEqual(reading, { kind: "named", perSecond });
  });
}

// A value that nobody can read must neither crash an entry nor close a runner.
for (const text of ["", "abc", "-1", "NaN", "1e9", "1,5", "1, 2", "Infinity"]) {
  test(`a rate limit of ${JSON.stringify(text)} is unreadable`, (t) => {
    const reading = rateLimitHeader.readRateLimit(text);
    t.deepEqual(reading, { kind: "unreadable", text });
  });
}

test("an answer without the header names no rate limit", (t) => {
  const reading = rateLimitHeader.readRateLimit(undefined);
  t.deepEqual(reading, { kind: "absent" });
});
