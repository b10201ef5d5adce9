import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { call, putManifest } from '../lib-2/calls.mjs';
import { isTrouble, noteRequests, runCase } from '../lib-2/case.mjs';
import { bounds, Deployment, findFreePort, waitFor } from '../lib-2/deployment.mjs';
import { createManifest, host, paths, service, timeouts } from '../lib-2/manifest.mjs';
import { Runner } from '../lib-2/runner.mjs';

/**
 * One of three runners hands out wrong bytes for a few seconds: one byte of the status line is wrong in one of fifty answers. Each request
 * must be answered by the timeout of its route, or half a second later.
 */

const key = 'key-a';
const runnerCount = 3;
const garbleFor = 6000;
/** One of so many answers of the faulty runner is spoiled. */
const spoiledOneIn = 50;
const callersPerGateway = 6;
const callerPause = 30;
const callerLimit = 4000;
const lateness = 500;

const deployment = new Deployment(4);
const runners = [];
let isGarbling = false;
let isOver = false;

async function play(record) {
  const { ips, ports } = deployment;
  const controlAddresses = deployment.controlIps.map((ip) => `${ip}:${ports.control}`);
  await waitFor('a leader', () => deployment.findLeader());
  await putManifest(controlAddresses, createManifest({ version: 3, keys: { branch: [key] } }));
  for (let index = 0; index < runnerCount; index += 1) {
    const ip = `127.0.${60 + index}.1`;
    const runner = new Runner({ id: `i-${index}`, service, controlAddresses });
    if (index === 0) {
      garble(runner, record);
    }
    await runner.open(ip, await findFreePort([ip]));
    runners.push(runner);
  }
  const fronts = ips.map((ip) => `${ip}:${ports.front}`);
  for (const front of fronts) {
    await waitFor('a gateway that serves', async () => {
      return (await ask(front, `first-${performance.now()}`)).status === 200;
    });
  }
  await sleep(bounds.contact_ms);
  const answers = [];
  const callers = fronts.flatMap((front, gateway) => {
    return Array.from({ length: callersPerGateway }, (_, index) => {
      return sendOn(front, `${gateway + 1}-${index}`, answers);
    });
  });
  await sleep(1000);
  isGarbling = isTrouble;
  record.note(isTrouble ? 'the runner i-0 begins to hand out wrong bytes' : 'no disruption');
  await sleep(garbleFor);
  isGarbling = false;
  record.note('all runners are sound');
  await sleep(14_000);
  isOver = true;
  await Promise.all(callers);
  const open = answers.filter(({ took }) => took > timeouts.again);
  const never = open.filter(({ took }) => took > timeouts.again + lateness);
  noteRequests(record, answers, runners);
  return never.length * 2 > open.length
    ? [
        `${open.length} of ${answers.length} requests had no answer at the timeout of their route, and ${never.length} of these none ` +
          `${lateness} ms later.`,
      ]
    : [];
}

/** Spoils one of so many answers: the first digit of its status is a 0. */
function garble(runner, record) {
  let count = 0;
  runner.answer = async (request, body, response) => {
    count += 1;
    if (!isGarbling || count % spoiledOneIn !== 0) {
      await runner.answerUsually(request, body, response);
      return;
    }
    const attempt = request.headers['x-attempt-id'];
    const text = `${attempt} `.repeat(80).slice(0, 800);
    record.note(`i-0 spoils its answer to ${attempt}: status 000 for 200`);
    response.socket.write(
      `HTTP/1.1 000 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Response-Seal: ${runner.sealOf(attempt)}\r\n` +
        `Content-Length: ${text.length}\r\n\r\n${text}`,
    );
  };
}

function ask(front, id, agent) {
  return call({
    address: front,
    path: `${paths.again}${id}`,
    headers: {
      host,
      'x-attempt-id': id,
      'x-deadline-ms': String(callerLimit),
      authorization: `Bearer ${key}`,
    },
    limit: callerLimit,
    agent,
  });
}

/** One caller with one kept connection. */
async function sendOn(front, caller, answers) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let number = 0; !isOver; number += 1) {
    const id = `c-${caller}-${number}`;
    const { status, error, sentAt, answeredAt } = await ask(front, id, agent);
    const to = `gateway ${caller[0]}`;
    answers.push({
      id,
      to,
      answer: status || error,
      took: answeredAt - sentAt,
      sentAt,
      answeredAt,
    });
    await sleep(callerPause);
  }
  agent.destroy();
}

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  deployment,
  play,
  cleanUp: () => {
    isOver = true;
    runners.forEach((runner) => runner.close());
  },
});
