import type { BurnPoint } from './burn-report.js';
import { formatTime } from './format-values.js';

/** Plots burn rate over time as one inline SVG. Lengths are in SVG units. */

const width = 640;
const height = 160;
const margin = { left: 40, right: 8, top: 8, bottom: 20 } as const;
const plotWidth = width - margin.left - margin.right;
const plotHeight = height - margin.top - margin.bottom;

/** Lower bound of the scale's maximum, so that low burn rates are not magnified to look like an alert. */
const minimumScaleTop = 2;

/** Draws the points; a step without requests leaves a gap. */
export function drawBurnPlot(points: readonly BurnPoint[], title: string): string {
  const top = computeScaleTop(points);
  const first = points[0];
  const last = points[points.length - 1];
  const lines = [0, 1, top].map((burnRate) => drawGridLine(burnRate, top));
  const path = drawPath(points, top);
  return [
    `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${title}">`,
    ...lines,
    `<path class="burn" d="${path}"/>`,
    drawLabel(margin.left, height - 6, 'start', first === undefined ? '' : formatTime(first.start)),
    drawLabel(
      width - margin.right,
      height - 6,
      'end',
      last === undefined ? '' : formatTime(last.start),
    ),
    '</svg>',
  ].join('\n');
}

function computeScaleTop(points: readonly BurnPoint[]): number {
  return Math.ceil(Math.max(minimumScaleTop, ...points.map(({ burnRate }) => burnRate ?? 0)));
}

function drawGridLine(burnRate: number, top: number): string {
  const y = computeY(burnRate, top);
  const kind = burnRate === 1 ? 'allowance' : 'grid';
  return (
    `<line class="${kind}" x1="${margin.left}" x2="${width - margin.right}" y1="${y}" y2="${y}"/>` +
    drawLabel(margin.left - 4, y, 'end', String(burnRate))
  );
}

function drawLabel(x: number, y: number | string, anchor: 'start' | 'end', text: string): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${text}</text>`;
}

function drawPath(points: readonly BurnPoint[], top: number): string {
  const parts: string[] = [];
  let isDrawing = false;
  points.forEach(({ burnRate }, index) => {
    if (burnRate === undefined) {
      isDrawing = false;
      return;
    }
    const x = margin.left + (plotWidth * index) / Math.max(points.length - 1, 1);
    parts.push(`${isDrawing ? 'L' : 'M'}${x.toFixed(1)} ${computeY(burnRate, top)}`);
    // A single step between gaps is a zero-length line, which the round line cap shows as a dot.
    if (!isDrawing) {
      parts.push('h0');
    }
    isDrawing = true;
  });
  return parts.join(' ');
}

function computeY(burnRate: number, top: number): string {
  return (margin.top + plotHeight * (1 - burnRate / top)).toFixed(1);
}
