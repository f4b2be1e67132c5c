import * as ava from "ava";
import * as trafficConfiguration from "./traffic_configuration.ts";
import * as urgencyOrder from "./urgency_order.ts";

const test = ava.default;

function createRoute(urgency: number): trafficConfiguration.Route {
  return {
    name: `route-${urgency}`,
    host: "h",
    prefix: "/",
    repeatability: trafficConfiguration.Repeatability.Idempotent,
    answerForm: trafficConfiguration.AnswerForm.Whole,
    open: false,
    shares: [{ service: "s", weight: 1 }],
    mostAttempts: 1,
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 100,
    gapMilliseconds: 0,
    urgency,
  };
}

function createAccount(
  urgency: number | undefined,
): trafficConfiguration.Account {
  return { name: "a", keys: [], urgency };
}

// If the account's urgency alone counted, bulk requests of an account would be
// as urgent as its interactive ones.
test("routes differ in urgency for accounts of the same urgency", (t) => {
  const routes = [createRoute(2), createRoute(0), createRoute(1)];
  const account = createAccount(1);
  const order = new urgencyOrder.UrgencyOrder({ routes, accounts: [account] });
  const ranks = routes.map((route) => order.of(route, account));
  t.true(ranks[1] < ranks[2] && ranks[2] < ranks[0]);
});

test("an account's urgency comes before the route's", (t) => {
  const routes = [createRoute(0), createRoute(2)];
  const accounts = [createAccount(0), createAccount(1)];
  const order = new urgencyOrder.UrgencyOrder({ routes, accounts });
  t.true(order.of(routes[1], accounts[0]) < order.of(routes[0], accounts[1]));
});

test("an account without an urgency has that of the route", (t) => {
  const routes = [createRoute(0), createRoute(2)];
  const accounts = [createAccount(undefined), createAccount(1)];
  const order = new urgencyOrder.UrgencyOrder({ routes, accounts });
  t.true(order.of(routes[0], accounts[0]) < order.of(routes[0], accounts[1]));
  t.true(order.of(routes[1], accounts[1]) < order.of(routes[1], accounts[0]));
});

test("all requests are equal if routes and accounts are", (t) => {
  const routes = [createRoute(1), createRoute(1)];
  const accounts = [createAccount(1), createAccount(undefined)];
  const order = new urgencyOrder.UrgencyOrder({ routes, accounts });
  const ranks = routes.flatMap((route) =>
    accounts.map((account) => order.of(route, account)),
  );
  t.deepEqual(ranks, [0, 0, 0, 0]);
});
