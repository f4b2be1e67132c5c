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

// If a request is quarantined, all requests with its fingerprint are refused.
// Neither requests of other accounts nor different requests of the same caller
// may be among them.
test("requests that differ in any part have different fingerprints", (t) => {
  const changes: Partial<fingerprint.RequestIdentity>[] = [
    {},
    { account: "b" },
    { method: "GET" },
    { host: "i" },
    { target: "/r/1?x" },
    // The last letter of "prompt" is changed.
    { body: Buffer.from("prompu") },
    { body: Buffer.from("prompt ") },
    // The text of one part is in another part, at last together with the
    // quotation marks and the comma that separate parts in the hashed text.
    { account: "", method: "a" },
    { account: 'a","POST', method: "" },
  ];
  const all = changes.map((change) =>
    fingerprint.fingerprintOf(identity(change)),
  );
  t.is(new Set(all).size, changes.length);
});
