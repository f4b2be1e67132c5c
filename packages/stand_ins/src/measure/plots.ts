import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as vega from "vega";
import * as vegaLite from "vega-lite";
import type * as statistics from "./statistics.ts";

const FOLDER = url.fileURLToPath(
  new URL("../../../../docs/plots/", import.meta.url),
);
const WIDTH = 420;

/** One bar or point of a plot. */
export interface PlotPoint {
  name: string;
  group: string;
  value: number;
  low: number;
  high: number;
}

/** A point from a spread over seeds. */
export function pointOf(
  group: string,
  name: string,
  spread: statistics.Spread,
): PlotPoint {
  const { mean: value, low, high } = spread;
  return { name, group, value, low, high };
}

/** Writes a plot of means with their range over seeds, one panel a group. */
export async function plotRanges(parameters: {
  file: string;
  title: string;
  points: PlotPoint[];
}): Promise<void> {
  const { file, title, points } = parameters;
  const y = {
    field: "name",
    type: "nominal" as const,
    title: null,
    sort: null,
  };
  const specification: vegaLite.TopLevelSpec = {
    data: { values: points },
    facet: { row: { field: "group", title: null, header: { labelAngle: 0 } } },
    resolve: { scale: { x: "independent" } },
    spec: {
      width: WIDTH,
      layer: [
        {
          mark: "rule",
          encoding: {
            x: {
              field: "low",
              type: "quantitative",
              title,
              scale: { zero: false },
            },
            x2: { field: "high" },
            y,
          },
        },
        {
          mark: { type: "point", filled: true, size: 60 },
          encoding: { x: { field: "value", type: "quantitative" }, y },
        },
      ],
    },
  };
  const compiled = vegaLite.compile(specification).spec;
  const view = new vega.View(vega.parse(compiled), { renderer: "none" });
  fs.mkdirSync(FOLDER, { recursive: true });
  fs.writeFileSync(path.join(FOLDER, file), await view.toSVG());
}
