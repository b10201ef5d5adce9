import { Socket } from 'node:net';

import { parseAddressOrThrow, type Milliseconds } from '../../common/index.js';

/** Checks whether an upstream accepts TCP connections. */

/** Bounds the probe of a host that neither accepts nor refuses the connection. */
const connectTimeout: Milliseconds = 500;

/** `refused`: no process listens on the port, so the upstream has ended. `unanswered`: timeout or another error; inconclusive. */
export type ProbeVerdict = 'accepted' | 'refused' | 'unanswered';

/** Opens a connection to `ip:port` and closes it immediately. */
export function probeUpstream(address: string): Promise<ProbeVerdict> {
  return new Promise((resolve) => {
    const socket = new Socket();
    const finish = (verdict: ProbeVerdict): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(verdict);
    };
    const timer = setTimeout(() => {
      finish('unanswered');
    }, connectTimeout);
    socket.once('connect', () => {
      finish('accepted');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered');
    });
    socket.connect(parseAddressOrThrow(address));
  });
}
