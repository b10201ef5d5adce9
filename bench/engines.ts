/**
 * What the planner of engine groups makes of days with many losses, in the simulated engines of its tests: the part of the requests
 * of each model that found a place. A model of a deployment, to compare planners with; what it finds counts once a played day
 * shows it.
 */
import { Command } from 'commander';

import { deploymentShapes, type DemandCase, type DeploymentShape } from './engines/deployments.js';
import { playLossDay } from './engines/loss-day.js';
import { formatFigure, formatMarkdownTable, reportProgress } from './support/index.js';

/** Moment of the day at which a fabric domain is lost. */
const domainLostAt = 11_000;

const {
  seeds,
  domainLoss,
  shape: only,
} = new Command()
  .option('--seeds <count>', 'days for each row', Number, 12)
  .option('--shape <number>', 'only this shape, counted from 1', Number)
  .option('--no-domain-loss', 'no fabric domain is lost')
  .parse()
  .opts<{ readonly seeds: number; readonly domainLoss: boolean; readonly shape?: number }>();

function playRow(shape: DeploymentShape, { label, large, small }: DemandCase): readonly string[] {
  reportProgress(`${shape.label}, ${label}`);
  const demand = new Map([
    ['large', large],
    ['small', small],
  ]);
  const { profile, domainSize } = shape;
  const days = Array.from({ length: seeds }, (_, index) =>
    playLossDay({
      seed: index + 1,
      profile,
      domainSize,
      demand,
      domainLostAt: domainLoss ? domainLostAt : undefined,
    }),
  );
  const meanOf = (read: (day: (typeof days)[number]) => number): number =>
    days.reduce((sum, each) => sum + read(each), 0) / days.length;
  const shares = [
    meanOf(({ served }) => served.get('large') ?? 0),
    meanOf(({ served }) => served.get('small') ?? 0),
    meanOf(({ idle }) => idle),
  ].map((share) => formatFigure(share));
  const violations = days.reduce((sum, day) => sum + day.violations, 0);
  return [shape.label, label, String(large), String(small), ...shares, String(violations)];
}

const rows = deploymentShapes
  .filter((_, index) => only === undefined || index + 1 === only)
  .flatMap((shape) => shape.demands.map((demandCase) => playRow(shape, demandCase)));
const header = [
  'shape',
  'demand',
  'large',
  'small',
  'large served',
  'small served',
  'idle engines',
  'promises broken',
];
console.log(formatMarkdownTable(header, rows));
