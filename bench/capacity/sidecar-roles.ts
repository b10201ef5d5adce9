/** Whole sidecars as `pistachiospoke-sidecar` runs them, many in one process, and their engines in another. */
import { createLogger, createRandomSource, systemClock } from '../../src/common/index.js';
import { sidecarSettingsSchema } from '../../src/settings/index.js';
import { SidecarProcess } from '../../src/sidecar/index.js';
import { StandInEngine } from '../../src/stand-in/index.js';
import { announceReady } from '../support/index.js';

/** Loopback has an address for each host, so that all of them use the same ports as on hosts of their own. */
const sidecarPort = 18_500;
const announcePort = 18_600;
const enginePort = 18_700;
const hostsInFabricDomain = 16;

/** Starts sidecars that talk to one control address. */
export async function runSidecarRole(control: string, count: number): Promise<void> {
  const logger = createLogger('bench', 'fatal');
  for (let index = 0; index < count; index += 1) {
    const settings = sidecarSettingsSchema.parse({
      host: `llm-host-${index}`,
      region: 'addis',
      failureDomain: 'bole',
      fabricDomain: `fabric-${Math.floor(index / hostsInFabricDomain)}`,
      accelerators: 8,
      labels: { pool: 'llm' },
      listen: `${createHostAddress(index)}:${sidecarPort}`,
      announce: `${createHostAddress(index)}:${announcePort}`,
      control: [control],
    });
    const random = createRandomSource(index);
    const sidecar = new SidecarProcess({ settings, clock: systemClock, random, logger });
    for (const part of sidecar.listParts()) {
      await part.open();
    }
  }
  announceReady('sidecars');
}

/** Starts the engine beside each of them. */
export async function runEngineRole(count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const engine = new StandInEngine({
      listen: `${createHostAddress(index)}:${enginePort}`,
      sidecar: `${createHostAddress(index)}:${announcePort}`,
      checksFencingNumber: true,
      capacity: 64,
      tokenMilliseconds: 10,
      loadMilliseconds: 100,
    });
    await engine.open();
  }
  announceReady('engines');
}

function createHostAddress(index: number): string {
  return `127.20.${Math.floor(index / 250)}.${(index % 250) + 1}`;
}
