/** A control host as `pistachiospoke-control` runs it, alone with its log, in a process that a bench can ask. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import {
  createEntropySource,
  createIdentifier,
  createLogger,
  systemClock,
} from '../../src/common/index.js';
import { ControlClient, ControlProcess } from '../../src/control/index.js';
import { viewSchemas, type Command } from '../../src/control/state/index.js';
import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import type { Configuration } from '../../src/model/index.js';
import { controlSettingsSchema } from '../../src/settings/index.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { waitFor } from '../../__tests__/support/index.js';
import { announceReady } from '../support/index.js';
import { createLargeConfiguration } from './fixtures.js';

const submitTimeout = 10_000;

/** A folder for the log of a control host under measurement. */
export function createDataFolder(): Promise<string> {
  return mkdtemp(join(tmpdir(), 'pistachiospoke-bench-'));
}

/**
 * Serves at an address; `publish` brings the next revision of the configuration into force.
 * With a data folder of an earlier start it goes on from there.
 */
export async function runControlRole(address: string, folder?: string): Promise<void> {
  const dataFolder = folder ?? (await createDataFolder());
  const settings = controlSettingsSchema.parse({
    name: 'control-1',
    region: 'addis',
    failureDomain: 'bole',
    listen: address,
    voters: [{ name: 'control-1', address }],
    dataFolder,
  });
  const logger = createLogger('bench', 'error');
  const control = new ControlProcess({ settings, clock: systemClock, logger });
  for (const part of control.listParts()) {
    await part.open();
  }
  const clients = new RpcClientPool();
  const client = new ControlClient({
    control: [address],
    clients,
    timeout: submitTimeout,
    random: createEntropySource(),
  });
  const document = createLargeConfiguration();
  let revision = await readRevision(clients, address);
  const publish = async (): Promise<string> => {
    const answer = await client.submit(createChange(document, revision));
    if (answer.err || answer.val.type !== 'changed') {
      throw new Error(`the change was refused: ${JSON.stringify(answer.val)}`);
    }
    revision = answer.val.revision;
    return String(revision);
  };
  announceReady(address, publish);
}

/** Waits until this host leads and knows its own state. */
function readRevision(clients: RpcClientPool, address: string): Promise<number> {
  return waitFor('a leader', async () => {
    const { answer } = await clients
      .client(ControlService, address)
      .get({ kind: 'configuration' }, { timeoutMs: submitTimeout });
    return viewSchemas.configuration.parse(JSON.parse(answer)).revision;
  });
}

/** A change of one label at the end, so that each revision differs from the last. */
function createChange(document: Configuration, baseRevision: number): Command {
  const [first, ...others] = document.accounts;
  const accounts =
    first === undefined ? [] : [...others, { ...first, labels: { change: String(baseRevision) } }];
  return {
    type: 'applyConfiguration',
    changeId: createIdentifier(),
    baseRevision,
    operator: 'bench',
    at: 0,
    document: { ...document, accounts },
  };
}
