/**
 * A small deployment of the programs under test: three control hosts and any number of gateways, started with the commands of
 * deploy/system.toml on loopback addresses, and what the scripts use to call them.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const routeHost = 'desk.example';
export const hasTrouble = process.env.TROUBLE !== '0';

export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

export async function waitFor(what, isDone, limit = 30_000) {
  const end = Date.now() + limit;
  while (Date.now() < end) {
    if (await isDone()) {
      return;
    }
    await sleep(50);
  }
  throw new Error(`not in time: ${what}`);
}

/** Files may be replaced while they are counted. */
function sizeOf(path) {
  try {
    return statSync(path).size;
  } catch {
    return 0;
  }
}

export function reservePort(host = '127.0.0.1') {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Writes what happens to record.txt in the folder of the case, with milliseconds since the start. */
export class Record {
  #file;
  #startedAt = Date.now();

  constructor(folder) {
    this.#file = join(folder, 'record.txt');
    writeFileSync(this.#file, '');
  }

  add(text) {
    appendFileSync(this.#file, `${String(Date.now() - this.#startedAt).padStart(6)} ${text}\n`);
  }
}

/** Calls an address once, on a connection of its own. */
export function call({
  address,
  method = 'GET',
  path,
  headers = {},
  body,
  limit = 5000,
  agent = false,
}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const options = { host, port: Number(port), method, path, headers, agent, timeout: limit };
    const request = http.request(options, (response) => {
      const chunks = [];
      const finish = (isWhole) => {
        const text = Buffer.concat(chunks).toString('latin1');
        resolve({ status: response.statusCode, headers: response.headers, body: text, isWhole });
      };
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => finish(response.complete));
      response.on('error', () => finish(false));
    });
    request.on('timeout', () => request.destroy(new Error('no answer in time')));
    request.on('error', (error) => {
      resolve({ status: 0, headers: {}, body: String(error), isWhole: false });
    });
    request.end(body);
  });
}

export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #programs = [];
  #record;
  controlHosts = ['127.0.0.1', '127.0.0.2', '127.0.0.3'];
  gateways = [];

  constructor(record) {
    this.#record = record;
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.once(signal, () => {
        record.add(`${signal}: the case could not run to its end`);
        this.stop();
        process.exit(2);
      });
    }
  }

  /** `moreControl`, `moreGateway`: settings that an installation has in addition to the usual ones. */
  async start({ gatewayCount = 1, moreControl = {}, moreGateway = {} } = {}) {
    this.internalPort = await reservePort();
    this.operatorPort = await reservePort();
    this.control = this.controlHosts.map((host, index) => {
      return this.#startControl(host, index, moreControl);
    });
    for (let index = 0; index < gatewayCount; index += 1) {
      this.gateways.push(await this.#startGateway(index, moreGateway));
    }
  }

  #seeds() {
    return {
      addresses: this.controlHosts.map((host) => `${host}:${this.operatorPort}`),
      port: this.internalPort,
    };
  }

  #startControl(host, index, more) {
    const settings = {
      operators: `${host}:${this.operatorPort}`,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'gangs',
      ],
      control: {
        name: host,
        region: 'r',
        failureDomain: `z${index}`,
        listen: `${host}:${this.internalPort}`,
        seeds: this.#seeds(),
        dataFolder: join(this.#folder, `data-${index}`, 'log'),
        toleratedLosses: 1,
        timeouts: { heartbeatMilliseconds: 100, electionMilliseconds: 500 },
        ...more,
      },
    };
    mkdirSync(join(this.#folder, `data-${index}`), { recursive: true });
    return this.#startProgram('control', `control-${index}`, settings);
  }

  async #startGateway(index, more) {
    const listen = `127.0.0.1:${await reservePort()}`;
    const readiness = `127.0.0.1:${await reservePort()}`;
    const settings = {
      name: `gateway-${index}`,
      failureDomain: `z${index % 3}`,
      listen,
      readiness,
      seeds: this.#seeds(),
      bounds: {
        repeatShare: 0.2,
        repeatBurst: 166,
        vouchMilliseconds: 2500,
        graceMilliseconds: 8000,
      },
      ...more,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'gangs',
      ],
    };
    const program = this.#startProgram('gateway', `gateway-${index}`, settings);
    return { address: listen, readiness, program };
  }

  #startProgram(name, label, settings) {
    const file = join(this.#folder, `${label}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return this.#run(name, label, file);
  }

  /** Starts a program that has ended again, with the same settings and data folder, as the platform does. */
  restartControl(index) {
    const { label, file } = this.control[index];
    this.#record.add(`${label} is started again`);
    this.control[index] = this.#run('control', label, file);
  }

  /** The command of the deploy file. */
  #run(name, label, file) {
    const args = [
      '--max-old-space-size=200',
      join(root, 'target', `${name}.js`),
      '--settings',
      file,
    ];
    const child = spawn(process.execPath, args, { cwd: root, stdio: ['ignore', 'pipe', 'pipe'] });
    const program = { label, file, child, output: '', hasEnded: false };
    const take = (chunk) => {
      program.output += chunk.toString();
    };
    child.stdout.on('data', take);
    child.stderr.on('data', take);
    child.on('exit', (code, signal) => {
      program.hasEnded = true;
      this.#record.add(`${label} ended: code ${code}, signal ${signal}`);
    });
    this.#programs.push(program);
    return program;
  }

  signal(program, signal) {
    this.#record.add(`${signal} to ${program.label}`);
    program.child.kill(signal);
  }

  callControl(index, method, path, body, limit = 2000) {
    const address = `${this.controlHosts[index]}:${this.operatorPort}`;
    const headers = body === undefined ? {} : { 'content-type': 'application/json' };
    return call({ address, method, path, body, headers, limit });
  }

  /** Sends a manifest to the given control hosts in turn until it is acknowledged; resolves with the time of the acknowledgement. */
  async putManifest(manifest, hosts = [0, 1, 2], limit = 30_000) {
    const body = JSON.stringify(manifest);
    const end = Date.now() + limit;
    for (let turn = 0; Date.now() < end; turn += 1) {
      const index = hosts[turn % hosts.length];
      const { status } = await this.callControl(index, 'POST', '/Config.Put', body, 1000);
      if (status === 200) {
        this.#record.add(`manifest ${manifest.version} acknowledged by control-${index}`);
        return Date.now();
      }
      await sleep(50);
    }
    throw new Error(`manifest ${manifest.version} was not acknowledged`);
  }

  /** Bytes in the data folder of a control host. */
  measureData(index) {
    const folder = join(this.#folder, `data-${index}`, 'log');
    return readdirSync(folder).reduce((sum, name) => sum + sizeOf(join(folder, name)), 0);
  }

  isReady(index) {
    return call({ address: this.gateways[index].readiness, path: '/readyz', limit: 1000 }).then(
      ({ status }) => status === 200,
    );
  }

  /** Name of the control host whose stream a gateway's log shows as the last one that was synchronized. */
  findWatched(index) {
    const found = [
      ...this.gateways[index].program.output.matchAll(
        /"address":"([^"]+)"[^\n]*"routing state synchronized"/g,
      ),
    ];
    return found.at(-1)?.[1]?.split(':')[0];
  }

  /** Index of the leader as the logs of the control hosts tell; -1 if there is none. */
  findLeader() {
    return this.control.findIndex(({ output, hasEnded }) => {
      const views = output.match(/"view":\{"type":"(\w+)"/g) ?? [];
      return !hasEnded && views.at(-1)?.includes('leader"') === true;
    });
  }

  stop() {
    for (const { child, hasEnded } of this.#programs) {
      if (!hasEnded) {
        child.kill('SIGKILL');
      }
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** A manifest with one plain service and one route for each kind of request that may go there. */
export function createManifest(version, { keys = ['key-1'], more = {} } = {}) {
  const route = (name, kind, attempts) => ({
    name,
    host: routeHost,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 20_000,
    slo_ms: 400,
    priority: 1,
    service: 'ledger',
    attempts,
    public: false,
  });
  return {
    version,
    routes: [
      route('once', 'non_idempotent', 1),
      route('again', 'idempotent', 2),
      { ...route('flow', 'streaming', 1), resumable: false, gap_slo_ms: 300 },
    ],
    services: [
      { name: 'ledger', health_path: '/healthz', max_conns: 130, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'branch', api_keys: keys, priority: 1 }],
    ...more,
  };
}

let attempts = 0;

export function createHeaders(key = 'key-1', limit = 8000) {
  attempts += 1;
  return {
    host: routeHost,
    'x-attempt-id': `attempt-${attempts}`,
    'x-deadline-ms': String(limit),
    authorization: `Bearer ${key}`,
  };
}

/** Registers a runner of the plain service and keeps announcing it until it is stopped. */
export function announce(deployment, { id, address, service = 'ledger', hosts = [0, 1, 2] }) {
  const born = Date.now();
  let sequence = 0;
  let turn = 0;
  let isAcknowledged = false;
  const beat = async () => {
    sequence += 1;
    const body = JSON.stringify({
      service,
      address,
      zone: 'z0',
      version: 'v1',
      capacity: 6,
      state: 'ready',
      cold_left_ms: 0,
      sequence,
      born,
    });
    for (let each = 0; each < hosts.length; each += 1) {
      const index = hosts[turn % hosts.length];
      const { status } = await deployment.callControl(
        index,
        'POST',
        `/Instances.Heartbeat/${id}`,
        body,
        1000,
      );
      if (status === 200) {
        isAcknowledged = true;
        return;
      }
      turn += 1;
    }
  };
  const timer = setInterval(() => void beat(), 1200);
  void beat();
  return {
    born,
    get isAcknowledged() {
      return isAcknowledged;
    },
    stop: () => clearInterval(timer),
  };
}
