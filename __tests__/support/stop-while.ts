import { setTimeout as pause } from 'node:timers/promises';

import { OpenConnection } from './open-connection.js';
import type { RunningProgram } from './programs.js';
import { readResponses, type ReadResponse } from './read-responses.js';

/** Stops a gateway in the middle of what its callers write. Times in milliseconds after the signal. */

/** Earliest time of a part; the connections are open by then. */
export const beforeSignal = -200;

/** Bytes that are written to a connection. */
export interface Part {
  readonly at: number;
  readonly text: string;
}

/** A caller's requests and the parts in which it writes them. */
export interface StopCase {
  readonly ids: readonly string[];
  readonly parts: readonly Part[];
}

/** A request whose head is written before the signal, and whose body comes byte by byte until the given time. */
export function writeSlowly(request: string, body: string, until: number): readonly Part[] {
  const head = { at: beforeSignal, text: request.slice(0, -body.length) };
  const bytes = Array.from(body, (byte, index) => ({
    at: beforeSignal + ((index + 1) * (until - beforeSignal)) / body.length,
    text: byte,
  }));
  return [head, ...bytes];
}

/** Writes the parts of each caller to a connection of its own, and returns what each of them received. */
export async function stopWhile(
  program: RunningProgram,
  address: string,
  callers: readonly (readonly Part[])[],
): Promise<readonly (readonly ReadResponse[])[]> {
  const connections = await Promise.all(callers.map(() => OpenConnection.open(address)));
  const signalAt = performance.now() - beforeSignal;
  const written = callers.flatMap((parts, caller) =>
    parts.map(async ({ at, text }) => {
      await pause(Math.max(0, signalAt + at - performance.now()));
      connections[caller]?.write(text);
    }),
  );
  await pause(signalAt - performance.now());
  program.signal('SIGTERM');
  await Promise.all([...written, ...connections.map(({ closed }) => closed)]);
  return connections.map(({ received }) => readResponses(received));
}
