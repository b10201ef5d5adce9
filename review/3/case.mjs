/**
 * Runners answer without a length. One of the two breaks off one in twenty of its answers in the middle, by a reset of the connection. Each
 * answer that reaches a client must then look broken off as well, or be another runner's whole answer.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  announce,
  createHeaders,
  createManifest,
  Deployment,
  hasTrouble,
  Record,
  reservePort,
  sleep,
  waitFor,
} from '../lib/deployment.mjs';
import { send } from '../lib/raw-client.mjs';
import { Runner } from '../lib/runner.mjs';

const requestCount = 600;
const requestInterval = 30;
/** One in so many answers of the first runner is broken off. */
const brokenEvery = 20;
const pieces = 10;

const record = new Record(dirname(fileURLToPath(import.meta.url)));
const deployment = new Deployment(record);
const brokenOff = new Set();

/** The whole answer to a request: ten events in a stream, ten lines otherwise. */
function createPieces(id, path) {
  return Array.from({ length: pieces }, (_, index) => {
    const text = `piece ${index + 1} of ${pieces} for ${id}`;
    return path.startsWith('/flow/') ? `id: ${index + 1}\ndata: ${text}\n\n` : `${text}\n`;
  });
}

function createAnswer(isFaulty) {
  return async ({ socket, path, id, count, fields }) => {
    record.add(`ran: ${id} (${path})`);
    const isBroken = isFaulty && count % brokenEvery === 0;
    const type = path.startsWith('/flow/') ? 'text/event-stream' : 'text/plain';
    const whole = createPieces(id, path);
    const written = isBroken ? whole.slice(0, pieces / 2) : whole;
    socket.write(`HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nConnection: close\r\n${fields}\r\n`);
    for (const piece of written) {
      socket.write(piece);
      await sleep(5);
    }
    if (isBroken) {
      brokenOff.add(id);
      record.add(
        `runner breaks off the answer to ${id} (${path}) after ${written.length} of ${pieces} pieces: reset`,
      );
      // What was written has long been delivered when the reset follows.
      await sleep(50);
      socket.resetAndDestroy();
    } else {
      socket.end();
    }
  };
}

async function run() {
  const ports = [await reservePort(), await reservePort()];
  const runners = ports.map((port, index) => {
    return new Runner(`i-${index}`, `127.0.0.1:${port}`, createAnswer(hasTrouble && index === 0));
  });
  await Promise.all(runners.map((runner) => runner.open()));
  await deployment.start();
  await deployment.putManifest(createManifest(5));
  const beats = runners.map(({ id, address }) => announce(deployment, { id, address }));
  await waitFor('a ready gateway and known runners', async () => {
    return beats.every(({ isAcknowledged }) => isAcknowledged) && (await deployment.isReady(0));
  });
  await sleep(1000);

  const { address } = deployment.gateways[0];
  const paths = ['/once/order', '/again/order', '/flow/order'];
  const pending = [];
  for (let index = 0; index < requestCount; index += 1) {
    const path = paths[index % paths.length];
    const headers = createHeaders();
    const id = headers['x-attempt-id'];
    record.add(`sent: ${id} (${path})`);
    pending.push(
      send({ address, path, headers, body: '{}' }).then((answer) => {
        const { status, ending, body } = answer;
        record.add(`answered: ${id}, status ${status}, ${body.length} bytes, ending ${ending}`);
        return { id, path, answer };
      }),
    );
    await sleep(requestInterval);
  }
  const results = await Promise.all(pending);
  let violations = 0;
  let wholeCount = 0;
  for (const { id, path, answer } of results) {
    const isWhole = answer.body === createPieces(id, path).join('');
    const looksWhole = answer.status === 200 && answer.ending === 'whole';
    wholeCount += looksWhole && isWhole ? 1 : 0;
    if (!isWhole || !looksWhole) {
      record.add(
        `client gets for ${id} (${path}): status ${answer.status}, ${answer.body.length} bytes, ending ${answer.ending} ${answer.error ?? ''}`,
      );
    }
    if (looksWhole && !isWhole) {
      violations += 1;
      record.add(
        `BROKEN MIXED: ${id} (${path}) got 200 with the seal ${answer.headers['x-response-seal']} and an orderly end, but only ${answer.body.split('piece').length - 1} of ${pieces} pieces`,
      );
    }
  }
  beats.forEach(({ stop }) => stop());
  runners.forEach((runner) => runner.close());
  const ran = runners.map(({ id, runs }) => `${id} ran ${runs.length}`).join(', ');
  const summary = `${results.length} requests, ${ran}; answers broken off by a reset: ${brokenOff.size}; whole answers: ${wholeCount}; partial answers that looked whole: ${violations}`;
  record.add(summary);
  console.log(summary);
  if (wholeCount < requestCount / 2 || (hasTrouble && brokenOff.size === 0)) {
    return 2;
  }
  return violations > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  record.add(`could not run: ${String(error)}`);
  console.log(error);
} finally {
  deployment.stop();
}
process.exit(code);
