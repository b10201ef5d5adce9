import type { AlertState, BurnReport, IndicatorBurn, TargetBurn } from './burn-report.js';
import { burnWindows } from './burn-windows.js';
import { formatBurnRate, formatIndicator, formatTime } from './format-values.js';

/** Formats the report as a table for terminals. */
export function formatBurnTable(report: BurnReport): string {
  const header = ['target', 'objective', ...burnWindows.map(({ name }) => name), 'state'];
  const rows = report.targets.flatMap((target) =>
    target.indicators.map((indicator) => createRow(target, indicator)),
  );
  const sections = [
    `Service-level burn at ${formatTime(report.at)}`,
    alignColumns([header, ...rows]),
    report.targets.map(formatOutcomes).join('\n'),
    formatSources(report).join('\n'),
  ];
  return `${sections.filter((section) => section !== '').join('\n\n')}\n`;
}

/** Formats the report as JSON; undefined values become null. */
export function formatBurnJson(report: BurnReport): string {
  const replaceUndefined = (_key: string, value: unknown): unknown => value ?? null;
  return `${JSON.stringify(report, replaceUndefined, 2)}\n`;
}

/** Describes the sources of the numbers and what is missing, one line each; shared by the table and the page. */
export function formatSources(report: BurnReport): readonly string[] {
  const lines = report.answered.map(
    ({ gateway, since }) => `${gateway} counts since ${formatTime(since)}`,
  );
  for (const { gateway, reason } of report.unanswered) {
    lines.push(`${gateway} DID NOT ANSWER (${reason}): its requests are missing here`);
  }
  if (report.unrecorded > 0) {
    lines.push(`${report.unrecorded} requests were not counted: too many targets at one gateway`);
  }
  if (report.targetsWithoutObjective.length > 0) {
    lines.push(`no objective for: ${report.targetsWithoutObjective.join(', ')}`);
  }
  return lines;
}

/** Formats the alert state: `PAGE 1h/5m`, `ticket 3d/6h`, `ok` or `no requests`. */
export function formatState(indicator: IndicatorBurn): string {
  const burning = indicator.alerts.filter((alert) => alert.isBurning);
  if (burning.length > 0) {
    return burning.map(formatAlert).join(', ');
  }
  const hasRequests = indicator.windows.some(({ burnRate }) => burnRate !== undefined);
  return hasRequests ? 'ok' : 'no requests';
}

/** Formats the counts and percentiles of one target as one line. */
export function formatOutcomes(target: TargetBurn): string {
  const { whole, failed, notRun } = target.outcomes;
  const outcomes = `${target.target}: 3 d: ${whole} whole, ${failed} failed, ${notRun} not run`;
  if (target.firstTokens === undefined) {
    return outcomes;
  }
  const { p50, p95, p99 } = target.firstTokens;
  return `${outcomes}; first token in 1 h: p50 ${p50} ms, p95 ${p95} ms, p99 ${p99} ms`;
}

function formatAlert({ severity, long, short }: AlertState): string {
  return `${severity === 'page' ? 'PAGE' : severity} ${long}/${short}`;
}

function createRow(target: TargetBurn, indicator: IndicatorBurn): readonly string[] {
  return [
    target.target,
    formatIndicator(indicator.indicator),
    ...indicator.windows.map(({ burnRate }) => formatBurnRate(burnRate)),
    formatState(indicator),
  ];
}

function alignColumns(rows: readonly (readonly string[])[]): string {
  const columnCount = Math.max(...rows.map((row) => row.length));
  const widths = Array.from({ length: columnCount }, (_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const lines = rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '),
  );
  return lines.map((line) => line.trimEnd()).join('\n');
}
