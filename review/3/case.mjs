/**
 * One of two runners sends additional bytes after three in a hundred of its complete answers: the body of that answer once more, behind a bare
 * HTTP head without any id. They arrive late, at the point where the next answer is expected on the connection. No client may get them.
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

const requestCount = 900;
const requestInterval = 20;
/** The first runner sends additional bytes after one in so many answers. */
const spoiltEvery = 34;

const record = new Record(dirname(fileURLToPath(import.meta.url)));
const deployment = new Deployment(record);
let extraCount = 0;

function createBody(id) {
  return `the answer to ${id} and to no other request\n`;
}

function createAnswer(isFaulty) {
  return async ({ connection, socket, id, count, fields }) => {
    const { extra } = connection;
    connection.extra = undefined;
    if (extra !== undefined) {
      extraCount += 1;
      record.add(
        `runner sends late additional bytes (of ${extra}) where the answer to ${id} is due`,
      );
      const body = createBody(extra);
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    }
    await sleep(30);
    const body = createBody(id);
    socket.write(
      `HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: ${body.length}\r\n${fields}\r\n${body}`,
    );
    if (isFaulty && count % spoiltEvery === 0) {
      connection.extra = id;
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
  const paths = ['/once/order', '/again/order'];
  const pending = [];
  for (let index = 0; index < requestCount; index += 1) {
    const path = paths[index % paths.length];
    const headers = createHeaders();
    const id = headers['x-attempt-id'];
    pending.push(
      send({ address, path, headers, body: '{}' }).then((answer) => ({ id, path, answer })),
    );
    await sleep(requestInterval);
  }
  const results = await Promise.all(pending);
  let violations = 0;
  let wholeCount = 0;
  for (const { id, path, answer } of results) {
    const isOwn = answer.body === createBody(id);
    const hasSeal = answer.headers['x-response-seal']?.endsWith(`.${id}`) === true;
    const isSuccess = answer.status === 200;
    wholeCount += isSuccess && isOwn && hasSeal ? 1 : 0;
    if (!isSuccess) {
      record.add(
        `client gets for ${id} (${path}): status ${answer.status}, ending ${answer.ending}`,
      );
    }
    if (isSuccess && (!isOwn || !hasSeal)) {
      violations += 1;
      record.add(
        `BROKEN MIXED: ${id} (${path}) got 200, seal ${answer.headers['x-response-seal']}, body ${JSON.stringify(answer.body)}`,
      );
    }
  }
  beats.forEach(({ stop }) => stop());
  runners.forEach((runner) => runner.close());
  const ran = runners.map(({ id, runs }) => `${id} ran ${runs.length}`).join(', ');
  const summary = `${results.length} requests, ${ran}; additional bytes sent late: ${extraCount}; own whole answers: ${wholeCount}; answers of another request: ${violations}`;
  record.add(summary);
  console.log(summary);
  if (wholeCount < requestCount / 2 || (hasTrouble && extraCount === 0)) {
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
