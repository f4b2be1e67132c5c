import * as groupsModel from "./groups_model.ts";
import * as statistics from "./statistics.ts";

const SEEDS = 10;

/** Step times by the way of choosing among groups. */
export function measureGroups(): object {
  const workloads = [
    { name: "ordinary day", surge: false },
    { name: "hourly surge", surge: true },
  ];
  return Object.fromEntries(
    workloads.map(({ name, surge }) => [name, byPolicy(surge)]),
  );
}

function byPolicy(surge: boolean): object {
  const policies = Object.values(groupsModel.GroupPolicy);
  return Object.fromEntries(
    policies.map((policy) => [policy, figuresOf(policy, surge)]),
  );
}

function figuresOf(policy: groupsModel.GroupPolicy, surge: boolean): object {
  const runs = Array.from({ length: SEEDS }, (_, seed) =>
    new groupsModel.GroupsModel(policy, surge, seed + 1).run(),
  );
  const spreadOf = (figure: keyof groupsModel.GroupFigures) =>
    statistics.spread(runs.map((run) => run[figure]));
  return {
    skew: spreadOf("skew"),
    tokenMilliseconds: spreadOf("tokenMilliseconds"),
    tokenMilliseconds95: spreadOf("tokenMilliseconds95"),
    firstTokenMilliseconds95: spreadOf("firstTokenMilliseconds95"),
  };
}
