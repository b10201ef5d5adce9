/** Clients of a port for calls between processes, each with a connection of its own. */
import type { ClientHttp2Session } from 'node:http2';

import type { FleetMember } from './fleet.js';
import { resetPeak, watchResources, type Resources } from './process-resources.js';

/** Lets so many clients press on a process for a while; returns the most that it took meanwhile. */
export async function pressWithSessions(
  { address, program }: FleetMember,
  size: number,
  milliseconds: number,
  open: (address: string) => ClientHttp2Session,
): Promise<Resources> {
  await resetPeak(program);
  const sessions = Array.from({ length: size }, () => open(address));
  try {
    return await watchResources([program], milliseconds);
  } finally {
    sessions.forEach((session) => {
      session.destroy();
    });
  }
}
