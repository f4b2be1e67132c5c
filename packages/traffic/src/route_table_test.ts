import * as ava from "ava";
import * as routeTable from "./route_table.ts";
import * as trafficConfiguration from "./traffic_configuration.ts";

const test = ava.default;

function route(host: string, prefix: string): trafficConfiguration.Route {
  return {
    name: `${host}${prefix}`,
    host,
    prefix,
    repeatability: trafficConfiguration.Repeatability.Idempotent,
    answerForm: trafficConfiguration.AnswerForm.Whole,
    open: false,
    shares: [{ service: "s", weight: 1 }],
    mostAttempts: 2,
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 400,
    gapMilliseconds: 0,
    urgency: 1,
  };
}

test("the longest prefix of the path wins, whatever the order", (t) => {
  const table = new routeTable.RouteTable([
    route("a", "/x/"),
    route("a", "/x/y/"),
    route("a", "/"),
    route("b", "/x/y/z/"),
  ]);
  t.is(table.find("a", "/x/y/z/1")?.name, "a/x/y/");
  t.is(table.find("a", "/x/1")?.name, "a/x/");
  t.is(table.find("a", "/1")?.name, "a/");
});

test("a path without the closing slash of a prefix is not below it", (t) => {
  const table = new routeTable.RouteTable([route("a", "/x/")]);
  t.is(table.find("a", "/x"), undefined);
  t.is(table.find("a", "/xy/"), undefined);
  t.is(table.find("c", "/x/"), undefined);
});
