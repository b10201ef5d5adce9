import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** Calls of clients, of the operator and of runners, as the users' pages describe them. */

/** Sends one HTTP/1.1 request; resolves with what came back, also if the answer is cut off or does not come. */
export function call({ address, method = 'GET', path, headers = {}, body, limit = 1000, agent }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const answer = { sentAt: performance.now(), status: 0, headers: {}, body: '', isWhole: false };
    const finish = (error) => {
      clearTimeout(timer);
      resolve({
        ...answer,
        error: error === undefined ? undefined : String(error.code ?? error.message),
        answeredAt: performance.now(),
      });
    };
    const text = body === undefined ? undefined : Buffer.from(body);
    const outgoing = request({
      host,
      port: Number(port),
      method,
      path,
      headers: {
        ...headers,
        ...(text === undefined ? {} : { 'content-length': text.length }),
      },
      agent: agent ?? new Agent(),
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('the caller gave up')), limit);
    outgoing.once('error', finish);
    outgoing.once('response', (response) => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', (chunk) => {
        answer.body += chunk;
      });
      response.once('error', finish);
      response.once('end', () => {
        answer.isWhole = response.complete;
        finish();
      });
    });
    outgoing.end(text);
  });
}

const endingStatuses = new Set([400, 409, 412, 413, 422]);

/** An operator's manifest: the same call again, to the next node, until it is acknowledged or refused for good. */
export async function putManifest(addresses, manifest, limit = 20_000) {
  const body = JSON.stringify(manifest);
  const end = performance.now() + limit;
  for (let turn = 0; performance.now() < end; turn += 1) {
    const address = addresses[turn % addresses.length];
    const answer = await call({
      address,
      method: 'POST',
      path: '/Config.Put',
      headers: { 'content-type': 'application/json' },
      body,
      limit: 3000,
    });
    if (answer.status === 200 || endingStatuses.has(answer.status)) {
      return { ...answer, address };
    }
    await sleep(100);
  }
  throw new Error('the manifest was not acknowledged');
}
