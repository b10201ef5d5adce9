/**
 * How evenly gateways place requests on heads as both grow, by their real choosers in virtual time.
 */
import { playPlacement } from '../__tests__/direct/placement-world.js';
import { formatFigure, formatMarkdownTable } from './support/index.js';

const duration = 20_000;
const seeds = [1, 2, 3];
const sizes = [
  { gateways: 9, heads: 6 },
  { gateways: 46, heads: 35 },
];
const loads = [0.5, 0.7, 0.85, 1.1];

const layouts = sizes.flatMap((size) => [
  { ...size, arePlaced: false },
  { ...size, arePlaced: true },
]);
const rows = layouts.flatMap((layout) =>
  loads.map((load) => {
    const { gateways, heads, arePlaced } = layout;
    const results = seeds.map((seed) => playPlacement({ ...layout, seed, load, duration }));
    const meanOf = (read: (result: (typeof results)[number]) => number): number =>
      results.reduce((sum, result) => sum + read(result), 0) / results.length;
    const figures = [
      gateways,
      heads,
      load,
      meanOf(({ turnedAway, requests }) => turnedAway / requests),
      meanOf(({ heldBack, requests }) => heldBack / requests),
      meanOf(({ overload, requests }) => overload / requests),
      meanOf(({ busiest }) => busiest),
      meanOf(({ pairs }) => pairs),
    ].map((figure) => formatFigure(figure));
    return [arePlaced ? 'yes' : 'no', ...figures];
  }),
);
const header = [
  'place known',
  'gateways',
  'heads',
  'load',
  'turned away though there was room',
  'held back though there was room',
  'no room at all',
  'busiest head over the mean',
  'pairs used',
];
console.log(formatMarkdownTable(header, rows));
