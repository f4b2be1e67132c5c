import * as ava from "ava";
import * as retryAfter from "./retry_after.ts";

const test = ava.default;

const NOW = Date.parse("2026-01-01T00:00:00Z");
const CASES: [value: string | undefined, milliseconds: number | undefined][] = [
  ["3", 3_000],
  ["0.35", 350],
  [" 12 ", 12_000],
  ["31536000", 31_536_000_000],
  ["Thu, 01 Jan 2026 00:00:05 GMT", 5_000],
  ["Wed, 31 Dec 2025 23:59:59 GMT", undefined],
  ["0", undefined],
  ["-1", undefined],
  ["soon", undefined],
  ["1, 5", undefined],
  ["", undefined],
  [undefined, undefined],
];

for (const [value, milliseconds] of CASES) {
  test(`a Retry-After of ${JSON.stringify(value)} is read`, (t) => {
    t.is(retryAfter.readRetryAfter(value, NOW), milliseconds);
  });
}
