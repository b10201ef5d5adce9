import { connect } from 'node:net';
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { call, putManifest } from '../lib-2/calls.mjs';
import { isTrouble, runCase } from '../lib-2/case.mjs';
import { bounds, Deployment, findFreePort, waitFor } from '../lib-2/deployment.mjs';
import { createManifest, host, paths, service, timeouts } from '../lib-2/manifest.mjs';
import { Runner } from '../lib-2/runner.mjs';

/**
 * A few callers ask for long answers, which the runner sends with `Connection: close`, and read them slowly. Other callers of the same
 * gateway go on with short requests. Each of these must be answered by the timeout of its route, or half a second later.
 */

const key = 'key-a';
/** Sizes of the long answers, in pieces: about 3.7 to 4.4 MB. */
const pieceBytes = 61_440;
const pieceCounts = Array.from({ length: 12 }, (_, index) => 60 + index);
const piecePause = 20;
/** How long a slow caller does not read. */
const unreadFor = 6000;
const callerCount = 10;
const callerPause = 200;
const callerLimit = 4000;
const lateness = 500;

const deployment = new Deployment(4);
let runner;
let isOver = false;

async function play(record) {
  const { ips, ports } = deployment;
  const controlAddresses = deployment.controlIps.map((ip) => `${ip}:${ports.control}`);
  await waitFor('a leader', () => deployment.findLeader());
  await putManifest(controlAddresses, createManifest({ version: 3, keys: { branch: [key] } }));
  runner = new Runner({ id: 'i-0', service, controlAddresses, answer });
  await runner.open('127.0.60.1', await findFreePort(['127.0.60.1']));
  const ip = ips.at(-1);
  const front = `${ip}:${ports.front}`;
  for (let index = 0; index < 5; index += 1) {
    await waitFor('a gateway that serves', async () => {
      return (await askShort(front, `first-${performance.now()}`)).status === 200;
    });
  }
  await sleep(bounds.contact_ms);
  const short = [];
  const callers = Array.from({ length: callerCount }, (_, index) => {
    return sendShort(front, index, short, record);
  });
  await sleep(1000);
  const long = await Promise.all(
    pieceCounts.map((pieces) => askLong(ip, ports.front, pieces, record)),
  );
  await sleep(500);
  isOver = true;
  await Promise.all(callers);
  await sleep(1500);
  const { exit } = deployment.find('gateway', ip);
  if (exit !== undefined) {
    record.note(`the gateway has ended by itself, exit code ${exit.code}`, exit.at);
  }
  record.note(`long answers: ${long.filter(Boolean).length} of ${long.length} came whole`);
  record.note(`short requests: ${short.length}`);
  const open = short.filter(({ took }) => took > timeouts.again);
  const never = open.filter(({ took, status }) => status === 0 || took > timeouts.again + lateness);
  return never.length * 2 > open.length
    ? [
        `${open.length} of ${short.length} short requests had no answer at the timeout of their route, and ${never.length} of these none ` +
          `${lateness} ms later.`,
        ...(exit === undefined
          ? []
          : [`The gateway ended by itself, with exit code ${exit.code}.`]),
      ]
    : [];
}

/** A long answer in pieces, on a connection that ends with it; a short one at once. */
async function answer(request, body, response) {
  const attempt = request.headers['x-attempt-id'];
  const pieces = Number(/long-(\d+)/.exec(request.url)?.[1] ?? 0);
  const head = {
    'x-attempt-id': attempt,
    'x-response-seal': runner.sealOf(attempt),
    'x-instance-load': '1,0,50',
  };
  if (pieces === 0) {
    await sleep(5);
    const text = `${attempt} `.repeat(80).slice(0, 800);
    response.writeHead(200, { ...head, 'content-length': text.length }).end(text);
    return;
  }
  response.writeHead(200, {
    ...head,
    'content-length': pieces * pieceBytes,
    connection: 'close',
  });
  for (let index = 1; index < pieces; index += 1) {
    response.write(Buffer.alloc(pieceBytes, 'x'));
    await sleep(piecePause);
  }
  response.end(Buffer.alloc(pieceBytes, 'x'));
}

/** Asks for a long answer and, with the disruption, does not read for a while. Resolves with whether it came whole. */
function askLong(ip, port, pieces, record) {
  const id = `long-${pieces}`;
  const socket = connect(port, ip);
  socket.write(
    [
      `POST ${paths.once}${id} HTTP/1.1`,
      `Host: ${host}`,
      `X-Attempt-Id: ${id}`,
      `X-Deadline-Ms: ${timeouts.once}`,
      `Authorization: Bearer ${key}`,
      'Content-Length: 1',
      '',
      'x',
    ].join('\r\n'),
  );
  record.note(`${id} sent`);
  if (isTrouble) {
    socket.pause();
    setTimeout(() => socket.resume(), unreadFor);
  }
  return new Promise((resolve) => {
    let got = 0;
    const finish = (how) => {
      clearTimeout(timer);
      socket.destroy();
      const isWhole = got >= pieces * pieceBytes;
      record.note(`${id} ends: ${how}, ${got} bytes of an answer of ${pieces * pieceBytes}`);
      resolve(isWhole);
    };
    const timer = setTimeout(() => finish('the caller gave up'), timeouts.once);
    socket.on('data', (bytes) => {
      got += bytes.length;
      if (got >= pieces * pieceBytes + 100 && bytes.subarray(-5).equals(Buffer.from('0\r\n\r\n'))) {
        finish('whole');
      }
    });
    socket.once('end', () => finish('the connection was closed'));
    socket.once('error', (error) => finish(error.code));
  });
}

function askShort(front, id, agent) {
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
async function sendShort(front, caller, answers, record) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let number = 0; !isOver; number += 1) {
    const id = `short-${caller}-${number}`;
    const { status, error, sentAt, answeredAt } = await askShort(front, id, agent);
    const took = answeredAt - sentAt;
    if (error !== 'ECONNREFUSED') {
      answers.push({ id, status, took });
    }
    if (took > timeouts.again || status !== 200) {
      record.note(`${id} sent; after ${took.toFixed(0)} ms: ${status || error}`, sentAt);
    }
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
    runner?.close();
  },
});
