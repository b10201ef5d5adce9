import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import type { EngineCall } from '../platform/test-engine.js';
import { waitFor } from '../support/index.js';
import { readResidentMemory } from '../support/resident-memory.js';

/** Times in milliseconds. */
const floodTime = 3000;
const measureInterval = 20;
const megabyte = 1024 * 1024;
/** What the system may need on each host. */
const memoryLimit = 256 * megabyte;

let deployment: PlatformDeployment;

afterEach(async () => {
  await deployment.stop();
});

const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** What is sent: the beginning, and what is repeated. */
const forms: Readonly<Record<string, readonly [string, string]>> = {
  'a body byte by byte': [chunked, '1\r\n \r\n'],
  'a body': [chunked, `400\r\n${' '.repeat(1024)}\r\n`],
  'a body without a length': ['HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', ' '],
  'a failure byte by byte': [chunked.replace('200 OK', '500 Failed'), '1\r\n \r\n'],
  'interim responses': ['', 'HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n'],
  'fields of a head': ['HTTP/1.1 200 OK\r\n', 'X: x\r\n'],
  'blank lines': ['', '\r\n'],
  'an extension': [`${chunked}1;`, 'x'],
  trailers: [`${chunked}0\r\n`, 'X-Field: x\r\n'],
  'bytes after the response': ['HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}', 'x'],
};
const calls: readonly EngineCall[] = ['report', 'health', 'order'];

// Guards against a sidecar whose memory is filled, or that stands still, because its engine answers a call without end.
describe.each(calls)('an engine that answers without end to the call: %s', (call) => {
  it('costs its sidecar little memory, and serves once it answers soundly', async () => {
    deployment = await PlatformDeployment.start(2);
    const [engine] = deployment.engines;
    if (engine === undefined) {
      throw new Error('there is no engine');
    }
    await deployment.waitForGroups(1);
    const { pid } = deployment.sidecarProgram(0);
    const peaks: Record<string, number> = {};
    for (const [name, bytes] of Object.entries(forms)) {
      engine.endless = { call, bytes };
      await engine.restart();
      await waitFor('a call to the engine', () => engine.floods.length > 0);
      let peak = 0;
      const end = performance.now() + floodTime;
      while (performance.now() < end) {
        const now = await readResidentMemory(pid);
        expect(now).toBeDefined();
        peak = Math.max(peak, now ?? 0);
        await pause(measureInterval);
      }
      peaks[name] = peak;
      engine.endless = undefined;
      await waitFor('the connections to be closed', () =>
        engine.floods.splice(0).every(({ isClosed }) => isClosed),
      );
    }
    expect(Object.entries(peaks).filter(([, peak]) => peak >= memoryLimit)).toEqual([]);
    await deployment.waitForGroups(1);
  });
});
