import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as restCount from "../gateways/rest_count.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

const WATCHED_MILLISECONDS = 7_000;

// Guards against an entry that goes on sending to a runner that asked it for rest.
test.failing(
  "a runner that turns an entry away gets nothing from it for as long as it asks",
  async (t) => {
    const entries = await scene.startEntries(t);
    const stopLoad = scene.load(t, entries);
    const { pool } = entries;
    for (const runner of pool.runners.slice(0, 3)) runner.restWanted = "3";
    await common.sleep(WATCHED_MILLISECONDS);
    const most = restCount.mostInRest(pool);
    t.true(most <= restCount.MOST_IN_REST, `${most} in a rest`);
    const seen = await stopLoad();
    t.true(seen.every(({ status }) => status === "whole"));
  },
);
