import { assertNever, type Milliseconds, type WallTime } from '../common/index.js';
import type { Objective } from '../model/index.js';
import {
  burnAlertRules,
  burnWindows,
  percentileWindow,
  type BurnAlertRule,
  type BurnWindow,
} from './burn-windows.js';
import { minuteResolution, type GatewayAnswer, type TargetCounters } from './counters.js';
import type { Percentiles } from './first-token-histogram.js';
import { MergedCounters, type WindowCounts } from './merged-counters.js';

/** What an objective measures. */
export type Indicator =
  | { readonly type: 'availability'; readonly objective: number }
  | {
      readonly type: 'firstToken';
      readonly objective: number;
      readonly milliseconds: Milliseconds;
    };

/** Good and bad requests of one window. */
export interface WindowBurn {
  readonly window: string;
  readonly good: number;
  readonly bad: number;
  /** At 1 the error budget lasts exactly 30 days; undefined without requests. */
  readonly burnRate: number | undefined;
}

export interface AlertState {
  readonly severity: BurnAlertRule['severity'];
  readonly short: string;
  readonly long: string;
  readonly threshold: number;
  readonly isBurning: boolean;
}

/** Burn rate of one step of the plot. */
export interface BurnPoint {
  readonly start: WallTime;
  readonly burnRate: number | undefined;
}

export interface IndicatorBurn {
  readonly indicator: Indicator;
  readonly windows: readonly WindowBurn[];
  readonly alerts: readonly AlertState[];
  /** Steps of five minutes over six hours, oldest first. */
  readonly points: readonly BurnPoint[];
}

export interface TargetBurn {
  readonly target: string;
  readonly indicators: readonly IndicatorBurn[];
  /** Outcomes over three days. */
  readonly outcomes: { readonly whole: number; readonly failed: number; readonly notRun: number };
  /** Times to the first token over the last hour; undefined if there were none. */
  readonly firstTokens: Percentiles | undefined;
}

export interface BurnReport {
  readonly at: WallTime;
  /** Gateways included in the report, and the wall time since which each counts. */
  readonly answered: readonly { readonly gateway: string; readonly since: WallTime }[];
  /** Gateways whose requests are missing from the report. */
  readonly unanswered: readonly { readonly gateway: string; readonly reason: string }[];
  /** Requests not counted because a gateway already tracked its maximum number of targets. */
  readonly unrecorded: number;
  readonly targets: readonly TargetBurn[];
  /** Targets with requests but without an objective. */
  readonly targetsWithoutObjective: readonly string[];
}

export interface BurnReportInput {
  /** Wall time of the report. */
  readonly at: WallTime;
  readonly objectives: readonly Objective[];
  readonly gateways: readonly GatewayAnswer[];
}

type CountersAnswer = Extract<GatewayAnswer, { readonly type: 'counters' }>;

const plotStep = 5 * 60_000;
const plotSteps = 72;
const plotWindow: BurnWindow = { name: 'step', length: plotStep, resolution: minuteResolution };
const outcomeWindow = burnWindows[burnWindows.length - 1] ?? percentileWindow;

/** Computes burn rates from the gateways' counters. Pure, so that saved counters reproduce the same report. */
export function createBurnReport(input: BurnReportInput): BurnReport {
  const answers = deduplicateAnswers(input.gateways);
  const counters = answers.flatMap((answer) => answer.counters.targets);
  const withObjective = new Set(input.objectives.map((objective) => objective.target));
  const seen = new Set(counters.map((target) => target.target));
  return {
    at: input.at,
    answered: answers.map(({ gateway, counters: { since } }) => ({ gateway, since })),
    unanswered: findUnanswered(input.gateways, new Set(answers.map(({ gateway }) => gateway))),
    unrecorded: answers.reduce((sum, answer) => sum + answer.counters.unrecorded, 0),
    targets: input.objectives.map((objective) => createTargetBurn(objective, counters, input.at)),
    targetsWithoutObjective: [...seen].filter((target) => !withObjective.has(target)).sort(),
  };
}

/** Whether any alert of the report is firing. */
export function isBurning(report: BurnReport): boolean {
  return report.targets.some((target) =>
    target.indicators.some(({ alerts }) => alerts.some((alert) => alert.isBurning)),
  );
}

/** Keeps the first answer of each gateway, so that a gateway reached at two addresses is not counted twice. */
function deduplicateAnswers(gateways: readonly GatewayAnswer[]): readonly CountersAnswer[] {
  const answers = new Map<string, CountersAnswer>();
  for (const answer of gateways) {
    if (answer.type === 'counters' && !answers.has(answer.gateway)) {
      answers.set(answer.gateway, answer);
    }
  }
  return [...answers.values()].sort((left, right) => compareText(left.gateway, right.gateway));
}

function findUnanswered(
  gateways: readonly GatewayAnswer[],
  answered: ReadonlySet<string>,
): BurnReport['unanswered'] {
  return gateways
    .filter((answer) => answer.type === 'noAnswer')
    .filter(({ gateway }) => !answered.has(gateway))
    .map(({ gateway, reason }) => ({ gateway, reason }))
    .sort((left, right) => compareText(left.gateway, right.gateway));
}

function createTargetBurn(
  objective: Objective,
  counters: readonly TargetCounters[],
  at: WallTime,
): TargetBurn {
  const merged = new MergedCounters(
    counters.filter(({ target }) => target === objective.target),
    objective.firstToken?.milliseconds,
  );
  const { whole, failed, notRun } = merged.sum(outcomeWindow, at);
  return {
    target: objective.target,
    indicators: listIndicators(objective).map((indicator) =>
      createIndicatorBurn(indicator, merged, at),
    ),
    outcomes: { whole, failed, notRun },
    firstTokens: merged.readPercentiles(percentileWindow, at),
  };
}

function listIndicators(objective: Objective): readonly Indicator[] {
  const availability: Indicator = { type: 'availability', objective: objective.availability };
  if (objective.firstToken === undefined) {
    return [availability];
  }
  const { share, milliseconds } = objective.firstToken;
  return [availability, { type: 'firstToken', objective: share, milliseconds }];
}

function createIndicatorBurn(
  indicator: Indicator,
  merged: MergedCounters,
  at: WallTime,
): IndicatorBurn {
  const windows = burnWindows.map((window) => measureWindow(indicator, merged, window, at));
  return {
    indicator,
    windows,
    alerts: burnAlertRules.map((rule) => evaluateRule(rule, windows)),
    points: listPoints(indicator, merged, at),
  };
}

function measureWindow(
  indicator: Indicator,
  merged: MergedCounters,
  window: BurnWindow,
  at: WallTime,
): WindowBurn {
  const { good, bad } = classifyCounts(indicator, merged.sum(window, at));
  return { window: window.name, good, bad, burnRate: computeBurnRate(indicator, good, bad) };
}

function classifyCounts(
  indicator: Indicator,
  counts: WindowCounts,
): { readonly good: number; readonly bad: number } {
  switch (indicator.type) {
    case 'availability':
      return { good: counts.whole, bad: counts.failed + counts.notRun };
    case 'firstToken':
      return { good: counts.fast, bad: counts.slow };
    default:
      return assertNever(indicator);
  }
}

function computeBurnRate(indicator: Indicator, good: number, bad: number): number | undefined {
  const total = good + bad;
  return total === 0 ? undefined : bad / total / (1 - indicator.objective);
}

function evaluateRule(rule: BurnAlertRule, windows: readonly WindowBurn[]): AlertState {
  const { severity, short, long, threshold } = rule;
  const isBurning = [short, long].every(({ name }) => {
    const burnRate = windows.find(({ window }) => window === name)?.burnRate;
    return burnRate !== undefined && burnRate >= threshold;
  });
  return { severity, short: short.name, long: long.name, threshold, isBurning };
}

function listPoints(
  indicator: Indicator,
  merged: MergedCounters,
  at: WallTime,
): readonly BurnPoint[] {
  return Array.from({ length: plotSteps }, (_, step) => {
    const end = at - (plotSteps - 1 - step) * plotStep;
    const { burnRate } = measureWindow(indicator, merged, plotWindow, end);
    return { start: end - plotStep, burnRate };
  });
}

function compareText(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}
