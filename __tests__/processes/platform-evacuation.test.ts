import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { TestUpstream } from '../direct/upstream.js';
import { PlatformDeployment } from '../platform/deployment.js';
import { waitFor } from '../support/index.js';

const gateways = [0, 1];
const controls = [0, 1, 2];
const domains = ['z0', 'z1'] as const;
/** The grace period is 400 ms of it. */
const evacuationLimit = 1000;
const heartbeatInterval = 300;
/** Time in milliseconds after which a domain that has returned to service may be evacuated again. */
const returnInterval = 2000;

type Domain = (typeof domains)[number];

let deployment: PlatformDeployment;
const upstreams: Readonly<Record<Domain, TestUpstream>> = {
  z0: new TestUpstream(),
  z1: new TestUpstream(),
};
let sequence = 0;
let heartbeats: NodeJS.Timeout;

function createManifest(version: number): string {
  const manifest = JSON.parse(deployment.manifest(version)) as Record<string, object[]>;
  const route = {
    name: 'lookup',
    host: 'desk.example',
    path_prefix: '/lookup/',
    kind: 'idempotent',
    timeout_ms: 2000,
    service: 'desk',
    attempts: 2,
  };
  const routes = [...(manifest.routes ?? []), route];
  const services = [...(manifest.services ?? []), { name: 'desk', max_conns: 100 }];
  return JSON.stringify({ ...manifest, routes, services });
}

/** Announces the upstream of a domain at any control host. */
async function announce(domain: Domain): Promise<boolean> {
  sequence += 1;
  const body = JSON.stringify({
    service: 'desk',
    address: upstreams[domain].address,
    zone: domain,
    version: '1',
    capacity: 6,
    state: 'ready',
    cold_left_ms: 0,
    sequence,
  });
  for (const control of controls) {
    const path = `/Instances.Heartbeat/i-${domain}`;
    if ((await deployment.callControl(control, 'POST', path, body)).status === 200) {
      return true;
    }
  }
  return false;
}

async function lookUp(gateway: number): Promise<{ status: number; body: string }> {
  const { statusCode, body } = await request(
    `http://${deployment.gatewayAddress(gateway)}/lookup/1`,
    { headers: { host: 'desk.example', authorization: 'Bearer key-1', 'x-attempt-id': 'r-1' } },
  );
  return { status: statusCode, body: await body.text() };
}

/** Sends requests through the gateways and returns the domains that served any. */
async function listServing(count = 20, through = gateways): Promise<ReadonlySet<string>> {
  const calls = through.flatMap((gateway) => Array.from({ length: count }, () => lookUp(gateway)));
  const answers = await Promise.all(calls);
  return new Set(answers.filter(({ status }) => status === 200).map(({ body }) => body));
}

/** Resends an order to one control host after another until it is acknowledged. */
async function order(action: 'Start' | 'End', domain: string): Promise<void> {
  await waitFor(`an acknowledgement of ${action} ${domain}`, async () => {
    for (const control of controls) {
      const path = `/Evacuation.${action}/${domain}`;
      if ((await deployment.callControl(control, 'POST', path)).status === 200) {
        return true;
      }
    }
    return false;
  });
}

async function waitForServing(expected: readonly string[]): Promise<void> {
  await waitFor(`answers of ${expected.join(' and ')} only`, async () => {
    const serving = await listServing();
    return serving.size === expected.length && expected.every((domain) => serving.has(domain));
  });
}

/** The output of the command line as JSON. */
async function runCommandLine(...flags: readonly string[]): Promise<unknown> {
  const hosts = controls.flatMap((control) => ['--control', deployment.controlAddress(control)]);
  const { output } = await deployment.group.run('pistachiospoke', [...hosts, '--json', ...flags]);
  return JSON.parse(output);
}

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, gateways.length, 1000, evacuationLimit);
  for (const domain of domains) {
    await upstreams[domain].open();
    upstreams[domain].handle = (_, response) => response.end(domain);
  }
  await waitFor('the manifest to be accepted', async () => {
    const answer = await deployment.callControl(0, 'POST', '/Config.Put', createManifest(3));
    return answer.status === 200;
  });
  heartbeats = setInterval(() => {
    domains.forEach((domain) => void announce(domain));
  }, heartbeatInterval);
  await waitForServing(domains);
});

afterAll(async () => {
  clearInterval(heartbeats);
  await deployment.stop();
  await Promise.all(domains.map((domain) => upstreams[domain].close()));
});

describe('the evacuation of a failure domain, with real processes', () => {
  // Guards against an acknowledged order that is lost with the control host that acknowledged it, and against gateways that are not told.
  it('takes effect at every gateway although the control host that took the order is killed', async () => {
    const leader = await waitFor('a leader', () => {
      const index = deployment.findLeader();
      return index < 0 ? undefined : { index };
    });
    const path = '/Evacuation.Start/z0';
    const { status } = await deployment.callControl(leader.index, 'POST', path);
    expect(status).toBe(200);
    deployment.killControl(leader.index);
    await waitForServing(['z1']);
    for (const gateway of gateways) {
      await deployment.gatewayProgram(gateway).waitForOutput(/evacuation in effect/);
    }
    const before = upstreams.z0.received.length;
    expect([...(await listServing(50))]).toEqual(['z1']);
    expect(upstreams.z0.received).toHaveLength(before);
    deployment.restartControl(leader.index);
  });

  // Guards against a restarted gateway that sends requests to the domain until it learns of the evacuation.
  it('is in effect at a gateway from its first request after a restart', async () => {
    const before = upstreams.z0.received.length;
    const program = deployment.gatewayProgram(0);
    program.signal('SIGKILL');
    await program.waitForExit();
    deployment.restartGateway(0);
    await waitFor('an answer of the gateway', async () => (await lookUp(0)).status === 200);
    expect([...(await listServing(50))]).toEqual(['z1']);
    expect(upstreams.z0.received).toHaveLength(before);
  });

  // Guards against an acknowledged evacuation that is gone after a power loss of all control hosts.
  it('is still in force after all control hosts were killed at once', async () => {
    const before = upstreams.z0.received.length;
    controls.forEach((control) => {
      deployment.killControl(control);
    });
    controls.forEach((control) => {
      deployment.restartControl(control);
    });
    const program = deployment.gatewayProgram(1);
    program.signal('SIGKILL');
    await program.waitForExit();
    deployment.restartGateway(1);
    await waitForServing(['z1']);
    expect(upstreams.z0.received).toHaveLength(before);
    expect(await runCommandLine('evacuations')).toMatchObject({
      evacuations: [{ failureDomain: 'z0', groups: [], requests: 0, waitsFor: [] }],
    });
  });

  // Guards against a domain that gets no requests after the end, against an unknown domain that is acknowledged, and against callers that
  // wait while every domain is evacuated.
  it('ends, and with every domain evacuated callers are refused with a code that says so', async () => {
    const unknown = await deployment.callControl(0, 'POST', '/Evacuation.Start/z9');
    expect(unknown.status).toBe(400);
    expect(await runCommandLine('evacuate', 'z0', '--end')).toMatchObject({ isChanged: true });
    await waitForServing(domains);
    await order('Start', 'z0');
    await order('Start', 'z1');
    const refusal = await waitFor('a refusal', async () => {
      const answer = await lookUp(0);
      return answer.status === 503 ? answer : undefined;
    });
    expect(JSON.parse(refusal.body)).toMatchObject({ error: { name: 'domainsEvacuated' } });
    await order('End', 'z1');
    await waitForServing(['z1']);
  });

  // Guards against a gateway that starts beside a control host which has not applied an acknowledged order, and takes its state for current.
  it('is in effect at a gateway that starts while its control host lags behind', async () => {
    await order('End', 'z0');
    await waitForServing(domains);
    await sleep(returnInterval);
    const leader = deployment.findLeader();
    const [lagging = -1, other = -1] = controls.filter((control) => control !== leader);
    const gateway = deployment.gatewayProgram(0);
    gateway.signal('SIGKILL');
    await gateway.waitForExit();
    const before = upstreams.z0.received.length;
    deployment.controlProgram(lagging).signal('SIGSTOP');
    const { status } = await deployment.callControl(leader, 'POST', '/Evacuation.Start/z0');
    expect(status).toBe(200);
    deployment.killControl(leader);
    deployment.killControl(other);
    deployment.controlProgram(lagging).signal('SIGCONT');
    deployment.restartGateway(0);
    await deployment.gatewayProgram(0).waitForOutput(/routing state synchronized/);
    deployment.restartControl(leader);
    deployment.restartControl(other);
    await waitFor('an answer of the gateway', async () => (await lookUp(0)).status === 200);
    expect([...(await listServing(50, [0]))]).toEqual(['z1']);
    expect(upstreams.z0.received).toHaveLength(before);
  });
});
