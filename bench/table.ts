/**
 * Formats results as a Markdown table.
 *
 * @module
 */

/** Values of one row by column name. */
export type TableRow = Readonly<Record<string, string | number>>;

/** Formats rows as a Markdown table. Fractions are rounded to three decimals. */
export function formatTable(rows: readonly TableRow[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const lines = rows.map((row) =>
    columns.map((column) => formatCell(row[column] ?? ""))
  );
  const header = columns.map(() => "---");
  return [columns, header, ...lines]
    .map((cells) => `| ${cells.join(" | ")} |`)
    .join("\n");
}

function formatCell(value: string | number): string {
  if (typeof value === "string") return value;
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}
