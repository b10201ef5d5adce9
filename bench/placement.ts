/**
 * How gateways place requests on heads as both grow, at usual load and in bursts, by their real choosers in virtual time; how an overload ends
 * that a burst and the loss of a third of the groups cause; and how requests are divided among failure domains that are far apart.
 */
import { simulateDomains } from '../__tests__/direct/domain-simulation.js';
import type { DomainPolicy } from '../__tests__/direct/domain-types.js';
import { simulateOverload } from '../__tests__/direct/overload-simulation.js';
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

const overloadSeeds = [1, 2, 3, 4];
const causes = {
  burst: 1.8,
  burstFrom: 8000,
  burstUntil: 11_000,
  awayFrom: 6000,
  awayUntil: 14_000,
};
const prompts = { rate: 45, objective: 500, pace: 1, prompt: 2500, answer: 250 };
const slotBound = { rate: 105, objective: 250, pace: 0.6, prompt: 800, answer: 150 };
const fewGroups = { groups: 4, rate: 54, burst: 2.1, burstUntil: 16_000, awayUntil: 6000 };
const overloads = [
  ['small model, a third of 9 groups away', { groups: 9, ...causes, ...slotBound }],
  ['large model, a third of 9 groups away', { groups: 9, ...causes, ...prompts }],
  ['small model, long burst on 4 groups', { ...causes, ...slotBound, ...fewGroups }],
] as const;
const overloadRows = overloads.flatMap(([name, shape]) =>
  [false, true].map((limitsByObjective) => {
    const results = overloadSeeds.map((seed) =>
      simulateOverload({
        ...shape,
        seed,
        limitsByObjective,
        gateways: 17,
        duration,
        order: 'newest',
      }),
    );
    const meanOf = (read: (result: (typeof results)[number]) => number): number =>
      results.reduce((sum, result) => sum + read(result), 0) / results.length;
    const figures = [
      meanOf(({ inTime, requests }) => inTime / requests),
      meanOf(({ late, requests }) => late / requests),
      meanOf(({ refused, requests }) => refused / requests),
      meanOf(({ recovery }) => recovery / 1000),
      meanOf(({ tailTimeAtGroup }) => tailTimeAtGroup),
      meanOf(({ longestQueue }) => longestQueue),
      meanOf(({ needlessRefusals }) => needlessRefusals),
    ].map((figure) => formatFigure(figure));
    return [name, limitsByObjective ? 'objective' : 'slots', ...figures];
  }),
);
const overloadHeader = [
  'overload',
  'bound by',
  'in time',
  'late',
  'refused',
  'seconds until in time',
  'at the group, p90 ms',
  'longest queue',
  'needless refusals',
];
console.log(formatMarkdownTable(overloadHeader, overloadRows));

const domainSeeds = [1, 2, 3];
const policies: readonly DomainPolicy[] = ['load', 'nearest', 'time'];
const domains = { gateways: 16, delay: 4.5, objective: 300, duration: 20_000 };
const spreadGroups = { ...domains, upstreams: 'groups', count: 9, rates: [50, 32, 18] } as const;
const spreadInstances = {
  ...domains,
  upstreams: 'instances',
  count: 4,
  rates: [40, 25, 15],
} as const;
const spreads = [
  ['groups', spreadGroups],
  ['groups, one domain crowded', { ...spreadGroups, rates: [85, 25, 10] }],
  ['groups, one slow, one failing', { ...spreadGroups, slowdown: 3, failures: 0.4 }],
  ['groups, a domain lost', { ...spreadGroups, rates: [35, 35, 30], lostDomain: 0 }],
  ['instances', spreadInstances],
  ['instances, one slow', { ...spreadInstances, slowdown: 4 }],
  ['instances, one slow, one failing', { ...spreadInstances, slowdown: 4, failures: 0.4 }],
] as const;
const domainRows = spreads.flatMap(([name, shape]) =>
  policies.map((policy) => {
    const results = domainSeeds.map((seed) => simulateDomains({ ...shape, seed, policy }));
    const meanOf = (read: (result: (typeof results)[number]) => number): number =>
      results.reduce((sum, result) => sum + read(result), 0) / results.length;
    const figures = [
      meanOf(({ inTime, requests }) => inTime / requests),
      meanOf(({ late, requests }) => late / requests),
      meanOf(({ abroad, sent }) => abroad / sent),
      meanOf(({ sentTo, sent }) => (sentTo[0] ?? 0) / sent),
      meanOf(({ sentTo, sent }) => (sentTo[1] ?? 0) / sent),
    ].map((figure) => formatFigure(figure));
    return [name, policy, ...figures];
  }),
);
const domainHeader = [
  'three domains, uneven demand',
  'choice',
  'in time',
  'late',
  'left their domain',
  'to the first (slow)',
  'to the second (failing)',
];
console.log(formatMarkdownTable(domainHeader, domainRows));
