import {
  Agent,
  request as sendRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';

import { TestUpstream } from '../direct/upstream.js';
import { waitFor } from '../support/index.js';
import { initialControlCount, type PlatformDeployment } from './deployment.js';

/** A plain service with test upstreams in a deployment of processes. */

const serviceName = 'desk';
const host = 'desk.example';
const apiKey = 'key-1';
const manifestVersion = 3;
const heartbeatInterval = 300;
/** Time that a route gives its requests, in milliseconds. */
export const routeTimeout = 1500;

/** Paths of its routes; requests of `once` are not idempotent, and streams of `flowOnce` cannot be resumed. */
export const servicePaths = {
  again: '/again/1',
  once: '/once/1',
  flow: '/flow/1',
  flowOnce: '/flow-once/1',
} as const;

export interface ServiceAnswer {
  /** 0 if there was no response. */
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
  /** Time until the answer had ended, in milliseconds. */
  readonly duration: number;
}

/** Answers a request as a sound upstream does. */
export function answerSoundly(request: IncomingMessage, response: ServerResponse): void {
  const id = String(request.headers['x-attempt-id']);
  response.writeHead(200, { 'x-attempt-id': id, 'x-response-seal': `seal of ${id}` }).end('sound');
}

/** Header fields of a request to the service, as a caller sends them. */
export function createServiceHeaders(id: string): Readonly<Record<string, string>> {
  return { host, authorization: `Bearer ${apiKey}`, 'x-attempt-id': id };
}

export class PlainService {
  readonly upstreams: readonly TestUpstream[];
  readonly #deployment: PlatformDeployment;
  readonly #timeout: number;
  #sequence = 0;
  #heartbeats: NodeJS.Timeout | undefined;
  #requestCount = 0;

  /** `timeout`: time that its routes give their requests, in milliseconds. */
  constructor(deployment: PlatformDeployment, upstreamCount: number, timeout = routeTimeout) {
    this.#deployment = deployment;
    this.#timeout = timeout;
    this.upstreams = Array.from({ length: upstreamCount }, () => new TestUpstream());
  }

  /** Starts sound upstreams and waits until the given number of gateways serve. */
  async open(gatewayCount: number): Promise<void> {
    for (const upstream of this.upstreams) {
      upstream.handle = answerSoundly;
      await upstream.open();
    }
    await waitFor('the manifest to be accepted', () => this.putManifest(0, manifestVersion));
    this.#heartbeats = setInterval(() => {
      this.upstreams.forEach((upstream, index) => void this.#announce(upstream, index));
    }, heartbeatInterval);
    for (let gateway = 0; gateway < gatewayCount; gateway += 1) {
      for (const { received } of this.upstreams) {
        await waitFor('each gateway to use each upstream', async () => {
          const before = received.length;
          await this.call(gateway, servicePaths.again);
          return received.length > before;
        });
      }
    }
  }

  /** Offers a manifest with the service to a control host; returns whether it was accepted. */
  async putManifest(control: number, version: number, serviceFields?: object): Promise<boolean> {
    const manifest = this.#deployment.manifest(version, serviceFields);
    const body = addService(manifest, this.#timeout);
    const { status } = await this.#deployment.callControl(control, 'POST', '/Config.Put', body);
    return status === 200;
  }

  async close(): Promise<void> {
    clearInterval(this.#heartbeats);
    await Promise.all(this.upstreams.map((upstream) => upstream.close()));
  }

  /** Sends a request on a new connection and reads nothing of the answer's body for `readAfter` milliseconds. */
  async call(
    gateway: number,
    path: string,
    readAfter = 0,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<ServiceAnswer> {
    const startedAt = performance.now();
    this.#requestCount += 1;
    const id = `r-${this.#requestCount}`;
    const [ip, port] = this.#deployment.gatewayAddress(gateway).split(':');
    const request = sendRequest({
      host: ip,
      port,
      path,
      agent: new Agent(),
      headers: { ...createServiceHeaders(id), ...headers },
    });
    return new Promise((resolve) => {
      const finish = (answer: Omit<ServiceAnswer, 'duration'>): void => {
        resolve({ ...answer, duration: performance.now() - startedAt });
      };
      request.on('error', (error) => {
        finish({ status: 0, body: String(error), isWhole: false });
      });
      request.on('response', (response) => {
        let body = '';
        const read = (): void => {
          response.setEncoding('latin1').on('data', (text: string) => {
            body += text;
          });
        };
        // What has not been read when the connection breaks is lost.
        if (readAfter === 0) {
          read();
        } else {
          setTimeout(read, readAfter);
        }
        response.on('error', () => undefined);
        response.on('close', () => {
          finish({ status: response.statusCode ?? 0, body, isWhole: response.complete });
        });
      });
      request.end();
    });
  }

  async #announce(upstream: TestUpstream, index: number): Promise<void> {
    this.#sequence += 1;
    const body = JSON.stringify({
      service: serviceName,
      address: upstream.address,
      zone: 'z0',
      version: '1',
      capacity: 50,
      state: 'ready',
      cold_left_ms: 0,
      sequence: this.#sequence,
    });
    const path = `/Instances.Heartbeat/desk-${index}`;
    const round = Math.floor(this.#sequence / this.upstreams.length);
    for (let call = 0; call < initialControlCount; call += 1) {
      const control = (round + call) % initialControlCount;
      const { status } = await this.#deployment.callControl(control, 'POST', path, body);
      if (status === 200) {
        return;
      }
    }
  }
}

/** Adds the service and its routes to a manifest. */
function addService(manifest: string, timeout: number): string {
  const { routes, services, ...rest } = JSON.parse(manifest) as Record<string, object[]>;
  const shared = { host, service: serviceName, timeout_ms: timeout, attempts: 2 };
  return JSON.stringify({
    ...rest,
    routes: [
      ...(routes ?? []),
      { ...shared, name: 'again', path_prefix: '/again/', kind: 'idempotent' },
      { ...shared, name: 'once', path_prefix: '/once/', kind: 'non_idempotent' },
      { ...shared, name: 'flow', path_prefix: '/flow/', kind: 'streaming', resumable: true },
      { ...shared, name: 'flow-once', path_prefix: '/flow-once/', kind: 'streaming' },
    ],
    services: [...(services ?? []), { name: serviceName, max_conns: 100 }],
  });
}
