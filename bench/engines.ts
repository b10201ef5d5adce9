/**
 * What the planner of engine groups makes of days with many losses, in the simulated engines of its tests: the part of the requests
 * of each model that found a place. A model of the deployment, to compare planners with; what it finds counts once a played day
 * shows it.
 */
import { Command } from 'commander';

import { playLossDay } from './engines/loss-day.js';
import { formatFigure, formatMarkdownTable, reportProgress } from './support/index.js';

/** Requests at one moment, by model: the large one takes four engines a group, the small one two. */
const demands = [
  { label: 'as on a usual day', large: 25, small: 52 },
  { label: 'a burst of the large model', large: 40, small: 52 },
  { label: 'a burst of both', large: 40, small: 85 },
];

const { seeds } = new Command()
  .option('--seeds <count>', 'days for each row', Number, 12)
  .parse()
  .opts<{ readonly seeds: number }>();

const rows = demands.map(({ label, large, small }) => {
  reportProgress(label);
  const demand = new Map([
    ['large', large],
    ['small', small],
  ]);
  const days = Array.from({ length: seeds }, (_, index) => playLossDay(index + 1, demand));
  const meanOf = (model: string): number =>
    days.reduce((sum, { served }) => sum + (served.get(model) ?? 0), 0) / days.length;
  const violations = days.reduce((sum, day) => sum + day.violations, 0);
  const shares = [meanOf('large'), meanOf('small')].map((share) => formatFigure(share));
  return [label, String(large), String(small), ...shares, String(violations)];
});
const header = ['demand', 'large', 'small', 'large served', 'small served', 'promises broken'];
console.log(formatMarkdownTable(header, rows));
