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
  burst,
} = new Command()
  .option('--seeds <count>', 'days for each row', Number, 12)
  .option('--shape <number>', 'only this shape, counted from 1', Number)
  .option('--burst', 'a burst of 1.8 times of the small model from 13 to 16 s', false)
  .option('--no-domain-loss', 'no fabric domain is lost')
  .parse()
  .opts<{
    readonly seeds: number;
    readonly domainLoss: boolean;
    readonly burst: boolean;
    readonly shape?: number;
  }>();

/** Days with a burst of the small model while the domain is lost. */
const smallBurst = { model: 'small', factor: 1.8, from: 13_000, until: 16_000 };
/** The present rule, and the one that weighs models by what their callers lose. */
const rules = ['demand', 'losses'] as const;

function playRow(
  shape: DeploymentShape,
  { label, large, small }: DemandCase,
  rule: (typeof rules)[number],
): readonly string[] {
  reportProgress(`${shape.label}, ${label}, ${rule}`);
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
      burst: burst ? smallBurst : undefined,
      weighsLosses: rule === 'losses',
      priorities: shape.priorities,
    }),
  );
  const meanOf = (read: (day: (typeof days)[number]) => number): number =>
    days.reduce((sum, each) => sum + read(each), 0) / days.length;
  const shares = [
    meanOf(({ served }) => served.get('large') ?? 0),
    meanOf(({ served }) => served.get('small') ?? 0),
    meanOf(({ idle }) => idle),
    meanOf(({ exchanges }) => exchanges),
  ].map((share) => formatFigure(share));
  const violations = days.reduce((sum, day) => sum + day.violations, 0);
  return [shape.label, label, rule, String(large), String(small), ...shares, String(violations)];
}

const rows = deploymentShapes
  .filter((_, index) => only === undefined || index + 1 === only)
  .flatMap((shape) =>
    shape.demands.flatMap((demandCase) => rules.map((rule) => playRow(shape, demandCase, rule))),
  );
const header = [
  'shape',
  'demand',
  'rule',
  'large',
  'small',
  'large served',
  'small served',
  'idle engines',
  'exchanges',
  'promises broken',
];
console.log(formatMarkdownTable(header, rows));
