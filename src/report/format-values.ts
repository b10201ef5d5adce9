import { assertNever, type WallTime } from '../common/index.js';
import type { Indicator } from './burn-report.js';

/** Formats values of a report, for both the table and the page. */

/** Burn rate with one decimal; a dash without requests. */
export function formatBurnRate(burnRate: number | undefined): string {
  return burnRate === undefined ? '-' : burnRate.toFixed(1);
}

/** UTC, to the minute. */
export function formatTime(time: WallTime): string {
  return `${new Date(time).toISOString().slice(0, 16).replace('T', ' ')} UTC`;
}

/** `99.9% whole answers` or `95% first token within 700 ms`. */
export function formatIndicator(indicator: Indicator): string {
  const share = formatShare(indicator.objective);
  switch (indicator.type) {
    case 'availability':
      return `${share} whole answers`;
    case 'firstToken':
      return `${share} first token within ${indicator.milliseconds} ms`;
    default:
      return assertNever(indicator);
  }
}

function formatShare(share: number): string {
  return `${Number((share * 100).toFixed(4))}%`;
}
