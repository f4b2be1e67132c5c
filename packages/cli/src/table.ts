/** Renders rows as a table with aligned columns. */
export function renderTable(
  columns: string[],
  rows: (string | number | boolean | undefined)[][],
): string {
  const texts = [columns, ...rows.map((row) => row.map(render))];
  const widths = columns.map((_, column) =>
    Math.max(...texts.map((row) => row[column].length)),
  );
  return texts
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}

function render(value: string | number | boolean | undefined): string {
  if (value === undefined || value === "") return "-";
  if (value === true) return "yes";
  if (value === false) return "no";
  return String(value);
}
