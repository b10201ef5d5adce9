/** Tables as benches print them. */

/** A Markdown table; the first column is aligned left, the others right. */
export function formatMarkdownTable(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const alignment = header.map((_, column) => (column === 0 ? '---' : '---:'));
  return [header, alignment, ...rows].map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

/** Three significant digits, without an exponent. */
export function formatFigure(value: number): string {
  if (!Number.isFinite(value)) {
    return '-';
  }
  return Math.abs(value) >= 100 ? value.toFixed(0) : String(Number(value.toPrecision(3)));
}

/** Progress goes to standard error, so that standard output is the table alone. */
export function reportProgress(message: string): void {
  process.stderr.write(`${message}\n`);
}
