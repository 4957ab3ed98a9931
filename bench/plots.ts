/**
 * Renders results as bar charts in SVG for the pages in docs/.
 *
 * @module
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import type { TableRow } from "./table.ts";

/** A chart of the values of a result file. */
interface Plot {
  readonly results: string;
  readonly file: string;
  readonly title: string;
  readonly group: string;
  readonly series: string;
  readonly value: string;
  /** Renders only rows in which this column has this value. */
  readonly only?: readonly [column: string, value: string];
}

const PLOTS: readonly Plot[] = [
  {
    results: "placement",
    file: "placement-skew",
    title: "Mean step-time skew, 32 ranks, 128 experts, 32 spare slots",
    group: "workload",
    series: "planner",
    value: "meanSkew",
    only: ["shape", "32 ranks, 128 experts, 32 spare"],
  },
  {
    results: "placement",
    file: "placement-moves",
    title: "Experts moved in a layer, per interval, 32 ranks",
    group: "workload",
    series: "planner",
    value: "movesPerInterval",
    only: ["shape", "32 ranks, 128 experts, 32 spare"],
  },
  {
    results: "choice",
    file: "choice-first-token",
    title: "p99 of the time to the first token, in milliseconds",
    group: "workload",
    series: "choice",
    value: "firstTokenP99",
  },
];

const COLOURS = ["#9aa5b1", "#d9822b", "#b0b83c", "#2f6fab", "#3a9a6e"];
const BAR_HEIGHT = 12;
const LABEL_WIDTH = 190;
const BARS_WIDTH = 480;
const GROUP_GAP = 10;
const TOP = 30;
const LINE_GAP = 16;

/** Renders every plot whose result file exists. */
export function writePlots(folder: string): void {
  for (const plot of PLOTS) {
    const source = `${folder}/${plot.results}.json`;
    if (!existsSync(source)) continue;
    const rows = JSON.parse(readFileSync(source, "utf8")) as TableRow[];
    writeFileSync(`${folder}/${plot.file}.svg`, renderBars(plot, rows));
  }
}

function renderBars(plot: Plot, allRows: readonly TableRow[]): string {
  const { only } = plot;
  const rows = allRows.filter((row) =>
    only === undefined || row[only[0]] === only[1]
  );
  const series = [...new Set(rows.map((row) => String(row[plot.series])))];
  const maxValue = Math.max(...rows.map((row) => Number(row[plot.value])));
  const parts: string[] = [];
  let top = TOP;
  let group = "";
  for (const row of rows) {
    const name = String(row[plot.group]);
    if (name !== group) {
      top += GROUP_GAP;
      parts.push(renderText(name, { x: 4, y: top + BAR_HEIGHT - 2 }));
      group = name;
    }
    const value = Number(row[plot.value]);
    const width = value / maxValue * BARS_WIDTH;
    const colour = COLOURS[series.indexOf(String(row[plot.series]))] as string;
    parts.push(
      `<rect x="${LABEL_WIDTH}" y="${top}" width="${width.toFixed(1)}" ` +
        `height="${BAR_HEIGHT - 2}" fill="${colour}"/>`,
      renderText(value.toPrecision(4), {
        x: LABEL_WIDTH + width + 4,
        y: top + BAR_HEIGHT - 3,
      }),
    );
    top += BAR_HEIGHT;
  }
  for (const [index, name] of series.entries()) {
    top += LINE_GAP;
    parts.push(
      `<rect x="${LABEL_WIDTH}" y="${top - 9}" width="10" height="10" ` +
        `fill="${COLOURS[index]}"/>`,
      renderText(name, { x: LABEL_WIDTH + 16, y: top }),
    );
  }
  const width = LABEL_WIDTH + BARS_WIDTH + 60;
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" ` +
    `height="${top + 12}" font-family="sans-serif" font-size="11">\n` +
    `<rect width="100%" height="100%" fill="white"/>\n` +
    `${renderText(plot.title, { x: 4, y: 18 })}\n${parts.join("\n")}\n</svg>\n`;
}

function renderText(
  text: string,
  position: { readonly x: number; readonly y: number },
): string {
  return `<text x="${position.x.toFixed(1)}" y="${position.y}">${text}</text>`;
}
