/** Formats a table for a terminal: columns as wide as their widest cell, two spaces apart. */
export function formatTable(
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [titles.map((title) => title.toUpperCase()), ...rows];
  const widths = titles.map((_title, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines.map((line) => formatLine(line, widths)).join('');
}

function formatLine(cells: readonly string[], widths: readonly number[]): string {
  const padded = widths.map((width, column) => (cells[column] ?? '').padEnd(width));
  return `${padded.join('  ').trimEnd()}\n`;
}

/** Formats a duration in milliseconds: `350 ms`, `12 s`, `5 min`, `3 h`. */
export function formatDuration(milliseconds: number): string {
  const steps = [
    { limit: 1000, divisor: 1, unit: 'ms' },
    { limit: 120_000, divisor: 1000, unit: 's' },
    { limit: 7_200_000, divisor: 60_000, unit: 'min' },
  ];
  const step = steps.find(({ limit }) => milliseconds < limit) ?? { divisor: 3_600_000, unit: 'h' };
  return `${Math.round(milliseconds / step.divisor)} ${step.unit}`;
}

const nameOrder = new Intl.Collator('en', { numeric: true });

/** Sorts by name in numeric order: `host-2` before `host-10`. */
export function sortByName<Row>(
  rows: readonly Row[],
  nameOf: (row: Row) => string,
): readonly Row[] {
  return [...rows].sort((left, right) => nameOrder.compare(nameOf(left), nameOf(right)));
}
