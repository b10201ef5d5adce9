import { describe, expect, it } from 'vitest';

import { exitCodes } from '../../src/cli/index.js';
import { runCommand } from './fake-control.js';

function createLine(name: string, time: string, msg: string, details: object): string {
  return JSON.stringify({ level: 30, time: `2026-12-01T10:00:${time}Z`, name, msg, ...details });
}

const gateway = [
  createLine('gateway-1', '03.000', 'attempt failed', { requestId: 'r-1', target: 'large/7' }),
  createLine('gateway-1', '03.010', 'request ended', { requestId: 'r-2', target: 'large/7' }),
  createLine('gateway-1', '05.500', 'request ended', { requestId: 'r-1', result: 'groupBroken' }),
].join('\n');

const control = [
  'a collector says hello',
  `12:00 control-1 ${createLine('control-1', '02.990', 'engine groups planned', {
    advance: [{ name: 'large/7', phase: 'closing', reason: 'a member was lost' }],
  })}`,
  createLine('control-1', '02.995', 'engine groups planned', { advance: [{ name: 'large/70' }] }),
].join('\n');

const files = { 'gateway.log': gateway, 'control.log': control };

describe('the trace of a request', () => {
  it('has its lines and those of its targets, in the order of time', async () => {
    const result = await runCommand([], ['trace', 'r-1', 'gateway.log', 'control.log'], files);
    expect(result.exitCode).toBe(exitCodes.ok);
    expect(result.output.trim().split('\n')).toEqual([
      expect.stringContaining('control-1: engine groups planned'),
      expect.stringContaining('gateway-1: attempt failed'),
      expect.stringContaining('gateway-1: request ended {"result":"groupBroken"}'),
    ]);
    expect(result.errors).toContain('control.log: 1 lines are none that a process of ours wrote');
  });

  it('says so where no line names the request, or a file cannot be read', async () => {
    const unknown = await runCommand([], ['trace', 'r-9', 'gateway.log'], files);
    expect(unknown.exitCode).toBe(exitCodes.notFound);
    const missing = await runCommand([], ['trace', 'r-1', 'nowhere.log'], files);
    expect(missing.exitCode).toBe(exitCodes.invalidFile);
  });
});
