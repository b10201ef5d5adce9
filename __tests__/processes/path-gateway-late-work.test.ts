import type { IncomingMessage, ServerResponse } from 'node:http';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { TestUpstream } from '../direct/upstream.js';
import { AnnouncedUpstream } from '../support/announced-upstream.js';
import { Fleet, fleetService, waitFor } from '../support/index.js';
import type { ReadResponse } from '../support/read-responses.js';
import {
  beforeSignal,
  stopWhile,
  writeSlowly,
  type Part,
  type StopCase,
} from '../support/stop-while.js';
import { formatOwnHead } from './gateway-callers.js';

/** Times in milliseconds; those of parts are after the signal. What is not over gets its answer half a second before the end. */
const portCloses = 1000;
const end = 3000;
const gatewayShutdown = {
  graceMilliseconds: portCloses,
  hardLimitMilliseconds: end - portCloses,
};
/** Work that does not end by itself before the gateway has stopped. */
const endless = 2 * end;
const path = `/services/${fleetService}/a`;

let fleet: Fleet;
let upstream: TestUpstream;
let announced: AnnouncedUpstream;
/** Ids of the requests to which the upstream has written its whole response. */
let answered: Set<string>;

beforeEach(async () => {
  answered = new Set();
  fleet = await Fleet.start({ gatewayShutdown });
  upstream = new TestUpstream();
  upstream.handle = runFor;
  await upstream.open();
  announced = new AnnouncedUpstream(fleet, 1, upstream.address);
  await waitFor('the upstream to be reached', async () => {
    const response = await fleet.callService('/ready', '');
    await response.text();
    return upstream.received.length > 0;
  });
});

afterEach(async () => {
  announced.close();
  await upstream.close();
  await fleet.stop();
});

/** Runs for as long as the request says; a marked response begins at once. */
function runFor(request: IncomingMessage, response: ServerResponse): void {
  if (request.headers['x-begins'] !== undefined) {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write('data: first\n\n');
  }
  const timer = setTimeout(
    () => {
      response.end('data: last\n\n');
    },
    Number(request.headers['x-run'] ?? 0),
  );
  response.on('finish', () => answered.add(String(request.headers['x-id'])));
  response.on('close', () => {
    clearTimeout(timer);
  });
}

interface Request {
  readonly id: string;
  readonly run?: number;
  readonly begins?: boolean;
  readonly isRepeatable?: boolean;
}

function formatRequest(
  { id, run = 0, begins = false, isRepeatable = false }: Request,
  body = '',
): string {
  return (
    formatOwnHead('POST', path, {
      'x-id': id,
      'x-run': String(run),
      'content-length': String(body.length),
      'pistachiospoke-non-idempotent': String(!isRepeatable),
      ...(begins ? { 'x-begins': '1' } : {}),
    }) + body
  );
}

function wasPassedOn(id: string): boolean {
  return upstream.received.some(({ headers }) => headers['x-id'] === id);
}

function stopGatewayWhile(
  callers: readonly (readonly Part[])[],
): Promise<readonly (readonly ReadResponse[])[]> {
  return stopWhile(fleet.member('gateway-1').program, new URL(fleet.origin()).host, callers);
}

/** Every request that the upstream got has a whole response, and every other one is rejected or has none. */
function expectDefinite(ids: readonly string[], responses: readonly ReadResponse[]): void {
  const outcomes = ids.map((id, index) => {
    const { status = 0, isWhole = false, body = '' } = responses[index] ?? {};
    const isAnswered = answered.has(id);
    return { id, status, isWhole, body, isAnswered, wasPassedOn: wasPassedOn(id) };
  });
  const allowed = (each: (typeof outcomes)[number]): boolean => {
    if (each.isAnswered) {
      return each.status === 200 && each.isWhole && !each.body.includes('"error"');
    }
    return each.wasPassedOn
      ? each.isWhole && each.body.includes('"name":"answerLost"')
      : each.status === 0 || (each.isWhole && each.body.includes('"name":"stopping"'));
  };
  expect(outcomes.filter((each) => !allowed(each))).toEqual([]);
}

/** Stops a gateway while the callers of the cases write, checks what they received, and returns it. */
async function expectDefiniteAnswers(
  cases: readonly StopCase[],
): Promise<readonly (readonly ReadResponse[])[]> {
  const received = await stopGatewayWhile(cases.map(({ parts }) => parts));
  cases.forEach(({ ids }, index) => {
    expectDefinite(ids, received[index] ?? []);
  });
  return received;
}

describe('a gateway of sidecars that is stopped', () => {
  // Guards against requests that are passed on behind a long response on their connection, and end with it without their own.
  it('answers requests that were sent before the response to an earlier one', async () => {
    const firsts = [
      { run: portCloses + 300 },
      { run: portCloses + 300, begins: true },
      { run: endless },
      { run: endless, begins: true },
    ];
    const laters = [beforeSignal, -100, 500, portCloses + 100, end - 700];
    const cases = firsts.flatMap((first, kind) =>
      laters.map((at) => {
        const ids = [0, 1, 2].map((number) => `pipelined-${kind}-${at}-${number}`);
        const [one = '', two = '', three = ''] = ids;
        const parts = [
          { at: beforeSignal, text: formatRequest({ ...first, id: one }) },
          { at, text: formatRequest({ id: two, run: 100 }) },
          { at, text: formatRequest({ id: three, run: 100 }) },
        ];
        return { ids, parts };
      }),
    );
    await expectDefiniteAnswers(cases);
  });

  // Guards against requests that end without a response because their work outlasts the time to stop, or their body arrives during it.
  it('answers requests whose work or whose body lasts long', async () => {
    const arrivals = [beforeSignal, 0, portCloses - 50, portCloses + 100, end - 600];
    const work = [true, false].flatMap((isRepeatable) =>
      arrivals.map((at) => {
        const id = `work-${isRepeatable}-${at}`;
        const text = formatRequest({ id, run: endless, isRepeatable });
        return { ids: [id], parts: [{ at, text }] };
      }),
    );
    const body = 'x'.repeat(10);
    const bodyEnds = [300, portCloses - 200, portCloses + 200, end - 700, end - 300];
    const bodies = [true, false].flatMap((isRepeatable) =>
      bodyEnds.map((bodyEnd) => {
        const id = `body-${isRepeatable}-${bodyEnd}`;
        const text = formatRequest({ id, run: 100, isRepeatable }, body);
        return { ids: [id], parts: writeSlowly(text, body, bodyEnd) };
      }),
    );
    await expectDefiniteAnswers([...work, ...bodies]);
  });

  // Guards against connections that were open before the stop, whose first requests come late and are cut at the end.
  it('answers the first requests of connections that were opened before', async () => {
    const random = createRandomSource(11);
    const cases = Array.from({ length: 100 }, (_, index) => {
      const id = `first-${index}`;
      const isRepeatable = index % 2 === 0;
      const text = formatRequest({ id, run: Math.floor(random.fraction() * 800), isRepeatable });
      return { ids: [id], parts: [{ at: Math.floor(random.fraction() * end), text }] };
    });
    const received = await expectDefiniteAnswers(cases);
    expect(received.some(([first]) => first?.status === 200)).toBe(true);
  });
});
