import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { call } from './calls.mjs';

/** A runner of a plain service as the users' pages describe it: it announces itself, runs requests, and tells which it ran. */

const heartbeatInterval = 1200;

export class Runner {
  /** `answer`: called with the request, its body and the response for each request that this runner runs. */
  constructor({ id, service, zone = 'north', controlAddresses, work = 5, capacity = 50, answer }) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.controlAddresses = controlAddresses;
    this.work = work;
    this.capacity = capacity;
    this.answer = answer ?? ((...each) => this.answerUsually(...each));
    /** What reached this runner, in order: id, path, headers and time. */
    this.arrivals = [];
    this.sequence = 0;
    this.state = 'ready';
    this.isLeaving = false;
  }

  async open(ip, port) {
    this.address = `${ip}:${port}`;
    this.server = createServer((request, response) => void this.#handle(request, response));
    this.server.keepAliveTimeout = 20_000;
    await new Promise((resolve) => this.server.listen(port, ip, resolve));
    this.announcing = this.#announce();
  }

  /** Ends its listening and its connections. */
  close() {
    this.isClosed = true;
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async #announce() {
    while (this.isClosed !== true && !this.isLeaving) {
      await this.heartbeat();
      await sleep(heartbeatInterval);
    }
  }

  /** One heartbeat, to the next control host after a failure; resolves with the ack, or without if none came. */
  async heartbeat() {
    this.sequence += 1;
    return this.#callControl(`/Instances.Heartbeat/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      capacity: this.capacity,
      state: this.state,
      cold_left_ms: 0,
      stage: 'mixed',
      models: [],
      sequence: this.sequence,
    });
  }

  /** Says that it leaves; it goes on serving until `close`. */
  leave() {
    this.isLeaving = true;
    return this.#callControl(`/Instances.Leave/${this.id}`);
  }

  async #callControl(path, body) {
    for (let turn = 0; turn < 6; turn += 1) {
      const address = this.heartbeatAddress ?? this.controlAddresses[turn % 3];
      const answer = await call({
        address,
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      if (answer.status >= 200 && answer.status < 300) {
        this.heartbeatAddress = readHeartbeatAddress(answer.body) ?? this.heartbeatAddress;
        return { ...answer, address };
      }
      this.heartbeatAddress = undefined;
    }
    return undefined;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (request.url === '/healthz') {
      response.writeHead(200, { 'x-instance-id': this.id, 'content-length': 0 }).end();
      return;
    }
    const attempt = request.headers['x-attempt-id'];
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response
        .writeHead(421, {
          'x-attempt-id': attempt,
          'x-not-executed': '1',
          'at-server': this.id,
          'content-length': 0,
        })
        .end();
      return;
    }
    this.arrivals.push({
      attempt,
      path: request.url,
      tenant: request.headers['x-tenant'],
      at: performance.now(),
      wall: Date.now(),
    });
    await this.answer(request, Buffer.concat(chunks), response);
  }

  /** 800 bytes after the usual work. */
  async answerUsually(request, body, response) {
    await sleep(this.work);
    const attempt = request.headers['x-attempt-id'];
    const text = `${attempt} `.repeat(80).slice(0, 800);
    response
      .writeHead(200, {
        'x-attempt-id': attempt,
        'x-response-seal': this.sealOf(attempt),
        'content-length': text.length,
      })
      .end(text);
  }

  sealOf(attempt) {
    return `${this.id}.${attempt}`;
  }
}

function readHeartbeatAddress(body) {
  try {
    return JSON.parse(body).heartbeat_addr;
  } catch {
    return undefined;
  }
}
