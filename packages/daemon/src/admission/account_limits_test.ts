import * as ava from "ava";
import * as accountLimits from "./account_limits.ts";
import type * as configuration from "@geraniumkeel/configuration";

const test = ava.default;

const ACCOUNT: configuration.Account = {
  name: "counter",
  keyHash: "",
  requestsPerSecond: 10,
  tokensPerSecond: 10,
  burstSeconds: 1,
  weight: 1,
};

// Guards against requests of an account that wait for good after an exception while its
// credit was borrowed, whose rejection nobody heard and which ended the process.
test("requests are refused after an exception, and later ones are granted", async (t) => {
  const failed: unknown[] = [];
  let fails = true;
  const limits = new accountLimits.AccountLimits({
    self: "self",
    entries: () => ["self"],
    account: () => {
      if (fails) throw new Error("no account");
      return ACCOUNT;
    },
    limitScale: () => 1,
    send: async () => true,
    onFailure: (cause) => failed.push(cause),
  });
  const outcomes = await Promise.all([
    limits.reserve("counter", 1),
    limits.reserve("counter", 1),
  ]);
  t.deepEqual(
    outcomes.map(({ kind }) => kind),
    ["refused", "refused"],
  );
  // One exception for both, as they wait for the same credit.
  t.is(failed.length, 1);
  fails = false;
  t.is((await limits.reserve("counter", 1)).kind, "granted");
});
