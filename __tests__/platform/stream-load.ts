import { setTimeout as pause } from 'node:timers/promises';

import type { CallResult, PlatformDeployment } from './deployment.js';
import type { ReceivedRequest, TestEngine } from './test-engine.js';

/** Requests streams at a constant rate through all gateways of a deployment in turn. */

const separator = ':';

export interface StreamLoadOptions {
  /** Distinguishes the requests of this load from others. */
  readonly name: string;
  readonly gatewayCount: number;
  /** Time between two requests, in milliseconds. */
  readonly interval: number;
  /** Duration of the load, in milliseconds. */
  readonly duration: number;
}

export async function runStreamLoad(
  deployment: PlatformDeployment,
  { name, gatewayCount, interval, duration }: StreamLoadOptions,
): Promise<readonly CallResult[]> {
  const end = performance.now() + duration;
  const pending: Promise<CallResult>[] = [];
  while (performance.now() < end) {
    const gateway = pending.length % gatewayCount;
    const id = [gateway, name, pending.length].join(separator);
    pending.push(deployment.stream(id, { gateway }));
    await pause(interval);
  }
  return Promise.all(pending);
}

/** The requests of stream loads that an engine received from each gateway. */
export function groupByGateway(engine: TestEngine): readonly (readonly ReceivedRequest[])[] {
  const byGateway = new Map<string, ReceivedRequest[]>();
  for (const request of engine.received) {
    const gateway = request.id.split(separator)[0] ?? '';
    byGateway.set(gateway, [...(byGateway.get(gateway) ?? []), request]);
  }
  return [...byGateway.values()];
}
