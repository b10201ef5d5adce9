import { once } from 'node:events';
import { spawn, type ChildProcess } from 'node:child_process';
import { connect, type Socket } from 'node:net';

/** A loopback address at which new connections hang, as at a host without power: their first packets are dropped. */

/** Connections that a stopped listener with the shortest queue still takes, with room to spare. */
const queuedConnections = 8;
const settleMilliseconds = 200;

export class DarkHost {
  readonly #listener: ChildProcess;
  readonly #queued: readonly Socket[];

  private constructor(listener: ChildProcess, queued: readonly Socket[]) {
    this.#listener = listener;
    this.#queued = queued;
  }

  /** Listens on a free port with a process that is stopped, and fills its queue. */
  static async open(port: number): Promise<DarkHost> {
    const script = `require('net').createServer().listen(${port}, '127.0.0.1', 1, () => console.log('listening'))`;
    const listener = spawn(process.execPath, ['-e', script], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    await once(listener.stdout, 'data');
    listener.kill('SIGSTOP');
    const queued = Array.from({ length: queuedConnections }, () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      return socket;
    });
    await new Promise((resolve) => setTimeout(resolve, settleMilliseconds));
    return new DarkHost(listener, queued);
  }

  /** Frees the port. Connections that hang are tried again by the kernel, at the times at which it repeats a lost packet. */
  async close(): Promise<void> {
    this.#queued.forEach((socket) => socket.destroy());
    const exit = once(this.#listener, 'exit');
    this.#listener.kill('SIGKILL');
    await exit;
  }
}
