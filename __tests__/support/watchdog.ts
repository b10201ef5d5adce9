/** Ends the programs of a test whose process was itself ended before it could stop them. */
import { spawn } from 'node:child_process';
import { Socket } from 'node:net';

/** Once its input ends, kills the processes that were added there and not removed. */
const program = `
  const ids = new Set();
  const lines = require('node:readline').createInterface({ input: process.stdin });
  lines.on('line', (line) => {
    const { action, id } = JSON.parse(line);
    ids[action](id);
  });
  lines.on('close', () => {
    for (const id of ids) {
      try {
        process.kill(id, 'SIGKILL');
      } catch (error) {
        console.error('process', id, 'was not killed:', error.message);
      }
    }
  });
`;

/** A process of its own, because a process that is killed can do nothing more. */
export class Watchdog {
  readonly #input: Socket;

  constructor() {
    // A process group of its own: an interrupt from a terminal ends the whole group of the tests.
    const child = spawn(process.execPath, ['-e', program], {
      stdio: ['pipe', 'ignore', 'inherit'],
      detached: true,
    });
    if (!(child.stdin instanceof Socket)) {
      throw new Error('the input of the watchdog is no pipe');
    }
    this.#input = child.stdin;
    this.#input.on('error', (error) => {
      process.emitWarning(`the watchdog is gone: ${error.message}`);
    });
    child.unref();
    this.#input.unref();
  }

  /** From now on the process with this id ends at the latest with the one that calls. */
  add(id: number): void {
    this.#send('add', id);
  }

  /** Has to be called once the process has exited: its id may be given to another one. */
  remove(id: number): void {
    this.#send('delete', id);
  }

  #send(action: 'add' | 'delete', id: number): void {
    this.#input.write(`${JSON.stringify({ action, id })}\n`);
  }
}
