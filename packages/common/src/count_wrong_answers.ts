import * as metricsModule from "./metrics.ts";
import type * as wrongAnswer from "./wrong_answer.ts";

/** Programs whose answers are read. */
export enum AnswerSource {
  Runner = "runner",
  Engine = "engine",
  Store = "store",
  /** A plain service of the own interface. */
  Service = "service",
}

/** Returns a function that counts each wrong answer of a program. */
export function countWrongAnswers(
  metrics: metricsModule.Metrics,
  from: AnswerSource,
): (wrong: wrongAnswer.WrongAnswer) => void {
  return ({ kind }) =>
    metrics.count(metricsModule.Metric.WrongAnswers, { kind, from });
}
