import { Socket } from 'node:net';

import { parseAddressOrThrow } from './address.js';
import { pause } from './pause.js';
import type { Milliseconds } from './time.js';

/** Checks whether an upstream accepts TCP connections. */

/** Delay before each probe of a series. An upstream that ends may close its connections shortly before its listening socket. */
export const probeDelays: readonly Milliseconds[] = [20, 250];

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

/** Probes after each of the delays, up to the first refusal; an accepted connection is probed again, as the upstream may still be ending. */
export async function probeUntilRefused(
  probe: () => Promise<ProbeVerdict>,
  delays: readonly Milliseconds[] = probeDelays,
): Promise<ProbeVerdict> {
  let verdict: ProbeVerdict = 'unanswered';
  for (const delay of delays) {
    await pause(delay, new AbortController().signal);
    verdict = await probe();
    if (verdict === 'refused') {
      break;
    }
  }
  return verdict;
}
