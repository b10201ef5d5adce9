import type { BurnReport, IndicatorBurn, TargetBurn } from './burn-report.js';
import { drawBurnPlot } from './burn-plot.js';
import { formatOutcomes, formatSources, formatState } from './format-text.js';
import { formatBurnRate, formatIndicator, formatTime } from './format-values.js';

const style = `
body { font: 15px/1.4 system-ui, sans-serif; max-width: 900px; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; margin: 0.5em 0; }
th, td { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
svg { width: 100%; height: auto; }
svg text { font-size: 10px; fill: #444; }
svg line { stroke: #ccc; }
svg line.allowance { stroke: #b00; stroke-dasharray: 4 3; }
svg path.burn { fill: none; stroke: #1457a8; stroke-width: 1.5; stroke-linecap: round; }
.burning { color: #b00; font-weight: bold; }
`;

/** Formats the report as a self-contained page, without scripts or external style sheets or images. */
export function formatBurnPage(report: BurnReport): string {
  const title = `Service-level burn at ${formatTime(report.at)}`;
  return `${[
    '<!doctype html>',
    '<html lang="en">',
    '<head>',
    '<meta charset="utf-8">',
    `<title>${title}</title>`,
    `<style>${style}</style>`,
    '</head>',
    '<body>',
    `<h1>${title}</h1>`,
    '<p>A burn rate of 1 (dashed) spends the allowance of 30 days in just 30 days.</p>',
    ...report.targets.map(formatTarget),
    '<h2>Sources</h2>',
    `<ul>${formatSources(report)
      .map((line) => `<li>${escapeHtml(line)}</li>`)
      .join('\n')}</ul>`,
    '</body>',
    '</html>',
  ].join('\n')}\n`;
}

function formatTarget(target: TargetBurn): string {
  return [
    `<h2>${escapeHtml(target.target)}</h2>`,
    `<p>${escapeHtml(formatOutcomes(target))}</p>`,
    ...target.indicators.map(formatIndicatorSection),
  ].join('\n');
}

function formatIndicatorSection(indicator: IndicatorBurn): string {
  const name = escapeHtml(formatIndicator(indicator.indicator));
  const isBurning = indicator.alerts.some((alert) => alert.isBurning);
  const state = `<span${isBurning ? ' class="burning"' : ''}>${formatState(indicator)}</span>`;
  return [
    `<h3>${name}: ${state}</h3>`,
    formatWindows(indicator),
    drawBurnPlot(indicator.points, `Burn rate over six hours: ${name}`),
  ].join('\n');
}

function formatWindows(indicator: IndicatorBurn): string {
  const columns = [
    ['window', 'good', 'bad', 'burn rate'],
    ...indicator.windows.map(({ window, good, bad, burnRate }) => [
      window,
      String(good),
      String(bad),
      formatBurnRate(burnRate),
    ]),
  ];
  const rows = columns.map((cells, index) => {
    const tag = index === 0 ? 'th' : 'td';
    return `<tr>${cells.map((cell) => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
  });
  return `<table>\n${rows.join('\n')}\n</table>`;
}

/** Names come from operators' configuration; unescaped they could inject markup into the page. */
function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
