import { spawn } from 'node:child_process';
import { once } from 'node:events';

import { describe, expect, it } from 'vitest';

// Guards against a stack trace where a reader such as `head` closes the output of a command early.
describe('the command line', () => {
  it.each(['stdout', 'stderr'] as const)('ends quietly if its %s is closed', async (closed) => {
    const flag = closed === 'stdout' ? '--help' : '--unknown';
    const command = spawn(process.execPath, ['dist/pistachiospoke.js', flag]);
    command[closed].destroy();
    let output = '';
    const open = closed === 'stdout' ? command.stderr : command.stdout;
    open.setEncoding('utf8').on('data', (text: string) => {
      output += text;
    });
    const [exitCode] = (await once(command, 'close')) as [number];
    expect(output).toBe('');
    expect(exitCode).toBe(closed === 'stdout' ? 0 : 2);
  });
});
