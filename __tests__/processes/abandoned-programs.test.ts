import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { fileURLToPath } from 'node:url';

import { buildSync } from 'esbuild';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { ProgramGroup, reservePort, waitFor } from '../support/index.js';

/** Starts a stand-in engine as a test does, writes its process id, and never stops it. */
const starterSource = `
  import { ProgramGroup } from './programs.js';
  const [listen, sidecar] = process.argv.slice(1);
  const group = await ProgramGroup.create();
  const commandArguments = ['engine', '--listen', listen, '--sidecar', sidecar];
  console.log(group.start('pistachiospoke-stand-in', commandArguments).pid);
  setInterval(() => undefined, 1000);
`;

let group: ProgramGroup;
let engine: number | undefined;

beforeEach(async () => {
  group = await ProgramGroup.create();
  engine = undefined;
});

afterEach(async () => {
  if (engine !== undefined) {
    process.kill(engine, 'SIGKILL');
  }
  await group.stop();
});

/** The folder of the starter's own group lies in that of this test, which is removed. */
function spawnStarter(commandArguments: readonly string[]): ChildProcess {
  const { outputFiles } = buildSync({
    stdin: {
      contents: starterSource,
      loader: 'ts',
      resolveDir: fileURLToPath(new URL('../support', import.meta.url)),
    },
    write: false,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
  });
  const code = outputFiles[0]?.text ?? '';
  return spawn(process.execPath, ['--input-type=module', '--eval', code, ...commandArguments], {
    stdio: ['ignore', 'pipe', 'inherit'],
    env: { ...process.env, TMPDIR: group.folder },
  });
}

async function isListening(port: number): Promise<boolean> {
  const socket = connect(port, '127.0.0.1');
  try {
    await once(socket, 'connect');
    return true;
  } catch {
    return false;
  } finally {
    socket.destroy();
  }
}

describe('the programs of a test', () => {
  // Guards against programs that run on after their tests and hold ports, memory and processor time.
  it.each(['SIGTERM', 'SIGKILL'] as const)(
    'end after a %s has ended the process of the test',
    async (signal) => {
      const port = await reservePort();
      const starter = spawnStarter([`127.0.0.1:${port}`, `127.0.0.1:${await reservePort()}`]);
      starter.stdout?.setEncoding('utf8').on('data', (text: string) => {
        engine = Number(text);
      });
      await waitFor('the engine to listen', () => isListening(port));
      expect(engine).toBeGreaterThan(0);
      starter.kill(signal);
      await once(starter, 'exit');
      await waitFor('the engine to end', async () => !(await isListening(port)));
      engine = undefined;
    },
  );
});
