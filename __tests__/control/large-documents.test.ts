// Guards against a leader that loses its term to a large routing document.
import { setImmediate as nextTurn } from 'node:timers/promises';
import { deflateRawSync } from 'node:zlib';

import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Ok } from 'ts-results';
import { describe, expect, it } from 'vitest';

import { systemClock } from '../../src/common/index.js';
import type { ReplicatedLog } from '../../src/consensus/index.js';
import { RoutingControl } from '../../src/control/routing/index.js';
import { CommandSubmitter } from '../../src/control/shell/command-submitter.js';
import {
  ControlStateMachine,
  formatCommand,
  parseCommand,
  type CommandAnswer,
} from '../../src/control/state/index.js';
import {
  checkRoutingDocument,
  packDocument,
  type RoutingDocument,
} from '../../src/routing/index.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { createDocument, streamRoute } from '../routing/documents.js';
import { createForwardedCalls } from './forwarded-calls.js';

const heartbeatSeconds = 0.1;
const linkBitsPerSecond = 100_000_000;
const followers = 5;
const bitsPerByte = 8;

function createLargeDocument(routeCount: number): RoutingDocument {
  const routes = Array.from({ length: routeCount }, (_, index) => {
    const name = ((index * 2_654_435_761) % 2 ** 32).toString(36);
    return { ...streamRoute, name: `r-${name}`, pathPrefix: `/${name}/` };
  });
  return createDocument({ version: 7, routes, source: JSON.stringify(routes) });
}

/** A control host that is alone and commits each command at once. */
class LoneControl {
  readonly machine = new ControlStateMachine();
  readonly commands: string[] = [];
  readonly routing: RoutingControl;

  constructor() {
    const log: ReplicatedLog<CommandAnswer> = {
      view: () => ({ type: 'leader', term: 1 }),
      staleness: () => 0,
      confirmRead: () => Promise.resolve(new Ok(this.commands.length)),
      appliedIndex: () => 0,
      propose: (command) => {
        this.commands.push(command);
        return Promise.resolve(new Ok(this.machine.apply(this.commands.length, command)));
      },
    };
    const clients = new RpcClientPool();
    const shared = {
      log,
      clients,
      clock: systemClock,
      findAddress: () => undefined,
      forwarded: createForwardedCalls(),
    };
    this.routing = new RoutingControl({
      ...shared,
      submitter: new CommandSubmitter(shared),
      logger: pino({ level: 'silent' }),
      name: 'alone',
      listVoters: () => [],
      readState: () => this.machine.read(),
      failureDomains: undefined,
      instanceSilence: 1000,
      weighsLosses: false,
      registry: new Registry(),
    });
  }
}

describe('a large routing document', () => {
  it.each([1400, 5000])(
    'of %d routes reaches five followers between two heartbeats',
    (routeCount) => {
      const document = createLargeDocument(routeCount);
      const command = formatCommand({ type: 'putRouting', at: 0, document });
      const seconds = (command.length * bitsPerByte * followers) / linkBitsPerSecond;
      expect(seconds).toBeLessThan(heartbeatSeconds);
    },
  );

  it('is validated over many turns of the event loop', async () => {
    const routesPerTurn = 100;
    const routeCount = 5000;
    const outcome = { isDone: false, isValid: false };
    void checkRoutingDocument(createLargeDocument(routeCount)).then(({ ok }) => {
      Object.assign(outcome, { isDone: true, isValid: ok });
    });
    let turns = 0;
    while (!outcome.isDone) {
      await nextTurn();
      turns += 1;
    }
    expect(outcome.isValid).toBe(true);
    expect(turns).toBeGreaterThanOrEqual(routeCount / routesPerTurn - 1);
  });

  it('that is in force is acknowledged again without an entry of the log', async () => {
    const control = new LoneControl();
    const document = createLargeDocument(1400);
    expect((await control.routing.put(document)).unwrap()).toBe(7);
    expect((await control.routing.put(document)).unwrap()).toBe(7);
    expect((await control.routing.put({ ...document, version: 5 })).unwrap()).toBe(7);
    expect(control.commands).toHaveLength(1);
    expect((await control.routing.read()).unwrap()).toBe(document.source);
  });

  it('is refused if it is invalid, also under a version that is in force', async () => {
    const control = new LoneControl();
    const document = createLargeDocument(200);
    await control.routing.put(document);
    const invalid = { ...document, routes: [...document.routes, { ...streamRoute, timeout: 0 }] };
    const result = await control.routing.put(invalid);
    expect(result.err && result.val.code).toBe('invalidRouting');
  });

  it('is refused if its packed form is damaged or unpacks to more than a host can hold', () => {
    const { body, source } = packDocument(createLargeDocument(1));
    const bomb = deflateRawSync(Buffer.alloc(65 * 1024 * 1024)).toString('base64');
    for (const document of [
      { body: body.slice(0, -8), source },
      { body, source: bomb },
    ]) {
      const parsed = parseCommand(JSON.stringify({ type: 'putRouting', at: 0, document }));
      expect(parsed.err && parsed.val.code).toBe('invalidCommand');
    }
  });
});
