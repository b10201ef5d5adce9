/** A control host that leads alone, in a process that a bench can ask what it spent. */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { Session, type Profiler } from 'node:inspector/promises';

import { createLogger, systemClock } from '../../src/common/index.js';
import { ControlProcess } from '../../src/control/index.js';
import type { RoutingDocument } from '../../src/routing/index.js';
import { controlSettingsSchema } from '../../src/settings/index.js';
import { createDocument, engineProfile } from '../../__tests__/routing/documents.js';
import { waitFor } from '../../__tests__/support/index.js';
import { createDataFolder } from '../capacity/control-role.js';
import { announceReady } from '../support/index.js';

/** What a leader spent since it was asked last. */
export interface LeaderUsage {
  readonly cpuMilliseconds: number;
  /** Longest time in which nothing else was handled. */
  readonly longestTurn: number;
  /** Functions by the time spent in them alone, the costliest first, in parts of all time on the processor. */
  readonly functions: readonly string[];
}

const listedFunctions = 40;
const nanosecondsPerMillisecond = 1e6;
const idleNames: ReadonlySet<string> = new Set(['(idle)', '(program)', '(root)']);

function createEngineDocument(): RoutingDocument {
  const [large, small] = engineProfile.models;
  if (large === undefined || small === undefined) {
    throw new Error('the profile has two models');
  }
  const models = [
    { ...large, groupSize: 8 },
    { ...small, groupSize: 4 },
  ];
  const engine = { ...engineProfile, loadsPerSecond: 32, concurrentLoads: 11, models };
  const services = [{ name: 'engines', maximumConnections: 600, engine }];
  const [route] = createDocument().routes;
  return createDocument({ services, routes: route === undefined ? [] : [route] });
}

/** Serves at an address; `document` brings a document into force, any other question is answered with a `LeaderUsage`. */
export async function runLeaderRole(address: string): Promise<void> {
  const settings = controlSettingsSchema.parse({
    name: 'control-1',
    region: 'addis',
    failureDomain: 'bole',
    listen: address,
    voters: [{ name: 'control-1', address }],
    dataFolder: await createDataFolder(),
  });
  const control = new ControlProcess({
    settings,
    clock: systemClock,
    logger: createLogger('bench', 'error'),
  });
  for (const part of control.listParts()) {
    await part.open();
  }
  const session = new Session();
  session.connect();
  await session.post('Profiler.enable');
  await session.post('Profiler.start');
  const delays = monitorEventLoopDelay({ resolution: 1 });
  delays.enable();
  let spentBefore = readProcessorTime();
  announceReady(address, async (question) => {
    if (question === 'document') {
      await waitFor('a leader', async () => (await control.routing.put(createEngineDocument())).ok);
      return 'in force';
    }
    const { profile } = await session.post('Profiler.stop');
    const spent = readProcessorTime();
    const usage: LeaderUsage = {
      cpuMilliseconds: spent - spentBefore,
      longestTurn: delays.max / nanosecondsPerMillisecond,
      functions: listFunctions(profile),
    };
    spentBefore = spent;
    delays.reset();
    await session.post('Profiler.start');
    return JSON.stringify(usage);
  });
}

function readProcessorTime(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

function listFunctions({ nodes, samples = [] }: Profiler.Profile): readonly string[] {
  const names = new Map(
    nodes.map(({ id, callFrame: { functionName, url, lineNumber } }) => {
      const file = url.split('/').at(-1) ?? '';
      return [id, `${functionName || '(anonymous)'} ${file}:${lineNumber + 1}`];
    }),
  );
  const counts = new Map<string, number>();
  const isBusy = (name: string): boolean => !idleNames.has(name.split(' ')[0] ?? '');
  const busy = samples.map((id) => names.get(id) ?? '').filter(isBusy);
  for (const name of busy) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts]
    .sort(([, one], [, other]) => other - one)
    .slice(0, listedFunctions)
    .map(([name, count]) => `${((100 * count) / busy.length).toFixed(1)}% ${name}`);
}
