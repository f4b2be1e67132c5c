import type * as scenario from "./scenario.ts";

/** Renders a demo's figures for people. */
export function renderReport(result: scenario.DemoResult): string {
  const milliseconds = (value: number) => `${value.toFixed(1)} ms`;
  const spread = (values: scenario.DemoResult["firstToken"]) =>
    `median ${milliseconds(values.p50)}, 95% ${milliseconds(values.p95)}, 99% ${milliseconds(values.p99)}`;
  const rows: [string, string | number][] = [
    ["requests", result.requests],
    ["answered whole", result.whole],
    ["refused, not run", result.notRun],
    ["may have run", result.mayHaveRun],
    ["broken off", result.broken],
    ["wrong", result.wrong],
    ["came back after a refusal", result.comeBacks],
    ["confirmations", result.confirmations],
    ["confirmations run twice", result.confirmationsRunTwice],
    ["tokens", result.tokens],
    ["first token", spread(result.firstToken)],
    ["between tokens", spread(result.betweenTokens)],
    ["step-time skew", result.stepTimeSkew.toFixed(3)],
    ["expert map switches", result.mapSwitches],
    ["steps with two maps", result.mixedSteps],
    [
      "preset in force everywhere",
      milliseconds(result.presetInForceMilliseconds),
    ],
    ["planned stop of an entry", `exit ${result.entryStopCode}`],
    ["planned stop of an upstream", `exit ${result.upstreamStopCode}`],
    ["every request accounted for", result.accounted ? "yes" : "NO"],
  ];
  const width = Math.max(...rows.map(([name]) => name.length));
  const lines = rows.map(([name, value]) => `${name.padEnd(width)}  ${value}`);
  const details = Object.entries(result.details).map(
    ([detail, count]) => `  ${count} × ${detail}`,
  );
  return [...lines, ...details].join("\n");
}
