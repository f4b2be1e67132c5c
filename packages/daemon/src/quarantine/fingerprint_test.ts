import * as ava from "ava";
import * as fingerprint from "./fingerprint.ts";

const test = ava.default;

function identity(
  change: Partial<fingerprint.RequestIdentity> = {},
): fingerprint.RequestIdentity {
  return {
    account: "a",
    method: "POST",
    host: "h",
    target: "/r/1",
    body: Buffer.from("prompt"),
    ...change,
  };
}

test("the same request has the same fingerprint", (t) => {
  const one = fingerprint.fingerprintOf(identity());
  t.is(fingerprint.fingerprintOf(identity()), one);
  t.is(one.length, 22);
});

// A caller must get neither requests of another account refused, nor its own
// different requests.
test("requests that differ in any part have different fingerprints", (t) => {
  const changes: Partial<fingerprint.RequestIdentity>[] = [
    {},
    { account: "b" },
    { method: "GET" },
    { host: "i" },
    { target: "/r/1?x" },
    { body: Buffer.from("prompu") },
    { body: Buffer.from("prompt ") },
    { account: "", method: "a" },
    { account: 'a","POST', method: "" },
  ];
  const all = changes.map((change) =>
    fingerprint.fingerprintOf(identity(change)),
  );
  t.is(new Set(all).size, changes.length);
});
