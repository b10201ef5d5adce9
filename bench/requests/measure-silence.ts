/** Time until the caller of a stream gets the next token after the connection below it went silent for good. */
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { build, type Histogram } from 'hdr-histogram-js';

import {
  admit,
  chat,
  Cleanup,
  FakeWatched,
  modelGroup,
  startGateway,
  startSidecar,
} from '../../__tests__/requests/fixture.js';
import { SwallowingRelay } from '../../__tests__/support/index.js';
import { formatMarkdownTable, reportProgress } from '../support/index.js';

const tokenInterval = 42;
/** The cut comes after this many tokens, and a little more in each round, so that keep-alives are in all phases. */
const tokensBeforeCut = 5;
const highestMilliseconds = 60_000;

/** Gateway and sidecar with real sockets, one relay between them. */
export async function measureSilence(rounds: number): Promise<string> {
  const gaps = build({
    highestTrackableValue: highestMilliseconds,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
  for (let round = 0; round < rounds; round += 1) {
    reportProgress(`silent connection, round ${round + 1} of ${rounds}`);
    await measureRound(gaps, round);
  }
  const figures = [50, 95, 100].map((percentile) => gaps.getValueAtPercentile(percentile));
  return formatMarkdownTable(
    ['rounds', 'gap p50 ms', 'gap p95 ms', 'longest ms'],
    [[String(rounds), ...figures]],
  );
}

async function measureRound(gaps: Histogram, round: number): Promise<void> {
  const cleanup = new Cleanup();
  const upstream = createServer((_, response) => {
    streamForEver(response);
  });
  await new Promise<void>((resolve) => upstream.listen(0, '127.0.0.1', resolve));
  cleanup.add(() => {
    upstream.closeAllConnections();
    upstream.close();
  });
  const upstreamUrl = `http://127.0.0.1:${(upstream.address() as AddressInfo).port}`;
  const sidecar = await startSidecar(upstreamUrl, admit(modelGroup('')), cleanup);
  const relay = await SwallowingRelay.open(sidecar.address);
  cleanup.add(() => relay.close());
  const watched = new FakeWatched();
  watched.set([modelGroup(relay.address)]);
  const { url } = await startGateway(watched, cleanup);
  gaps.recordValue(await measureGap(url, relay, round));
  await cleanup.run();
}

async function measureGap(url: string, relay: SwallowingRelay, round: number): Promise<number> {
  const caller = new AbortController();
  const response = await chat(url, { stream: true }, {}, caller.signal);
  const reader = response.body?.getReader();
  for (let seen = 0; seen < tokensBeforeCut; seen += 1) {
    await reader?.read();
  }
  await new Promise((resolve) => setTimeout(resolve, round % tokenInterval));
  const cutAt = performance.now();
  relay.swallowOpenConnections();
  // What had passed the relay before the cut still comes.
  let gap = 0;
  while (gap < tokenInterval * 2) {
    await reader?.read();
    gap = performance.now() - cutAt;
  }
  caller.abort();
  return Math.round(gap);
}

function streamForEver(response: ServerResponse): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  const timer = setInterval(() => response.write('data: token\n\n'), tokenInterval);
  response.on('close', () => {
    clearInterval(timer);
  });
}
