/**
 * How gateways place requests on heads as both grow, at usual load and in bursts, by their real choosers in virtual time.
 */
import { simulatePlacement } from '../__tests__/direct/placement-simulation.js';
import { formatFigure, formatMarkdownTable } from './support/index.js';

const duration = 30_000;
const seeds = [1, 2, 3];
const sizes = [
  { gateways: 8, heads: 4 },
  { gateways: 17, heads: 7 },
  { gateways: 46, heads: 35 },
];
const loads = [
  { load: 0.5, burst: 1 },
  { load: 0.7, burst: 1.3 },
  { load: 0.7, burst: 1.6 },
  { load: 0.8, burst: 1.8 },
];

const layouts = sizes.flatMap((size) => [
  { ...size, knowPositions: false },
  { ...size, knowPositions: true },
]);
const rows = layouts.flatMap((layout) =>
  loads.map(({ load, burst }) => {
    const results = seeds.map((seed) =>
      simulatePlacement({ ...layout, seed, load, burst, duration }),
    );
    const meanOf = (read: (result: (typeof results)[number]) => number): number =>
      results.reduce((sum, result) => sum + read(result), 0) / results.length;
    const figures = [
      layout.gateways,
      layout.heads,
      load,
      burst,
      meanOf(({ inTime, requests }) => inTime / requests),
      meanOf(({ late, requests }) => late / requests),
      meanOf(({ refused, requests }) => refused / requests),
      meanOf(({ avoidablyQueued, requests }) => avoidablyQueued / requests),
      meanOf(({ longestQueue }) => longestQueue),
      meanOf(({ imbalance }) => imbalance),
      meanOf(({ pairs }) => pairs),
    ].map((figure) => formatFigure(figure));
    return [layout.knowPositions ? 'yes' : 'no', ...figures];
  }),
);
const header = [
  'place known',
  'gateways',
  'heads',
  'load',
  'burst',
  'in time',
  'late',
  'refused',
  'crowded',
  'longest queue',
  'busiest over mean',
  'pairs used',
];
console.log(formatMarkdownTable(header, rows));
