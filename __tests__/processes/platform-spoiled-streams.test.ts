import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { PlainService, servicePaths, type ServiceAnswer } from '../platform/plain-service.js';
import {
  beginStream,
  continuations,
  eventCount,
  formatEvent,
  formatEvents,
  handleInTurn,
  readResumePoint,
  sendSoundRequests,
  spoiledEvents,
  streamSpoiled,
  wholeStream,
  type UpstreamHandler,
} from '../platform/spoiled-stream.js';
import { waitFor } from '../support/index.js';

/** Events before the spoiled one. */
const soundCount = 4;

/** Bodies of streams without any event. */
const emptyStreams = { 'no bytes': '', 'a comment': ': of no run\n\n', 'blank lines': '\n\r\n' };

let deployment: PlatformDeployment;
let service: PlainService;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, 1, 1000, undefined, {}, 'deployment');
  service = new PlainService(deployment, 3);
  await service.open(1);
});

beforeEach(async () => {
  expect(await sendSoundRequests(service)).toEqual([]);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

/** Requests a stream that the given handler answers first; every other request is answered soundly. */
function callSpoiled(
  path: string,
  handle: UpstreamHandler,
  headers: Readonly<Record<string, string>> = {},
): Promise<ServiceAnswer> {
  handleInTurn(service, handle);
  return service.call(0, path, 0, headers);
}

const cases = Object.entries(spoiledEvents).flatMap(([name, create]) =>
  continuations.map((continuation) => [name, continuation, create] as const),
);

// Guards against stream events that no run made and that reach callers, because an upstream sent them on a connection that works.
describe.each(cases)('a stream with %s, then %s', (_, continuation, create) => {
  const spoil: UpstreamHandler = (request, response) =>
    streamSpoiled(request, response, soundCount, create(soundCount + 1), continuation);

  it('is continued at another upstream, and its caller sees nothing of it', async () => {
    const { status, body, isWhole } = await callSpoiled(servicePaths.flow, spoil);
    expect({ status, body, isWhole }).toEqual({ status: 200, body: wholeStream, isWhole: true });
  });

  it('is broken off after the last sound event if it cannot be resumed', async () => {
    const { status, body, isWhole } = await callSpoiled(servicePaths.flowOnce, spoil);
    expect({ status, body, isWhole }).toEqual({
      status: 200,
      body: formatEvents(1, soundCount),
      isWhole: false,
    });
  });
});

// Guards against a first event that no run made, when nothing has been sent to the caller yet.
describe.each(Object.entries(spoiledEvents))('a stream that begins with %s', (_, create) => {
  // The number of the first event is 1, so its predecessors and it are left out.
  const spoil: UpstreamHandler = (request, response) =>
    streamSpoiled(request, response, 0, create(1), 'the other events');

  it('is answered by another upstream', async () => {
    const { status, body, isWhole } = await callSpoiled(servicePaths.flow, spoil);
    expect({ status, body, isWhole }).toEqual({ status: 200, body: wholeStream, isWhole: true });
  });

  it('is answered with 502 if it cannot be resumed', async () => {
    const { status, body } = await callSpoiled(servicePaths.flowOnce, spoil);
    expect(status).toBe(502);
    expect(body).not.toContain('of no run');
  });
});

// Guards against a stream that looks whole although its upstream sent none of its events.
describe.each(Object.entries(emptyStreams))('a stream of %s', (_, text) => {
  const spoil: UpstreamHandler = (request, response) => {
    beginStream(request, response);
    response.end(text);
  };

  it('is answered by another upstream', async () => {
    const { status, body, isWhole } = await callSpoiled(servicePaths.flow, spoil);
    expect({ status, body, isWhole }).toEqual({ status: 200, body: wholeStream, isWhole: true });
  });

  it('is answered with 502 if it cannot be resumed', async () => {
    const { status } = await callSpoiled(servicePaths.flowOnce, spoil);
    expect(status).toBe(502);
  });

  it('is whole if its caller resumes it after the last event', async () => {
    const headers = { 'last-event-id': String(eventCount) };
    const { status, body, isWhole } = await callSpoiled(servicePaths.flow, spoil, headers);
    expect({ status, body, isWhole }).toEqual({ status: 200, body: '', isWhole: true });
  });
});

// Guards against events that come twice or are left out when a stream is resumed.
describe('a stream that is resumed', () => {
  const breakOff: UpstreamHandler = (request, response) =>
    streamSpoiled(request, response, soundCount, '', 'a reset');

  it.each([
    ['from the start', 1],
    ['after an event that is left out', soundCount + 2],
    ['with the event that its caller has', soundCount],
  ])('is broken off if the other upstream goes on %s', async (_, first) => {
    let count = 0;
    const goOn: UpstreamHandler = (request, response) => {
      beginStream(request, response);
      response.end(formatEvents(first, eventCount));
    };
    for (const upstream of service.upstreams) {
      upstream.handle = (request, response) => {
        count += 1;
        void (count === 1 ? breakOff : goOn)(request, response);
      };
    }
    const { status, body, isWhole } = await service.call(0, servicePaths.flow);
    expect({ status, body, isWhole }).toEqual({
      status: 200,
      body: formatEvents(1, soundCount),
      isWhole: false,
    });
    expect(count).toBe(2);
  });

  it.each(['4', '0'])('by its caller begins after the event %s', async (last) => {
    const headers = { 'last-event-id': last };
    const { body, isWhole } = await service.call(0, servicePaths.flow, 0, headers);
    expect({ body, isWhole }).toEqual({
      body: formatEvents(Number(last) + 1, eventCount),
      isWhole: true,
    });
  });

  it('by its caller is asked for elsewhere if the upstream begins at another event', async () => {
    const startOver: UpstreamHandler = (request, response) => {
      beginStream(request, response);
      response.end(wholeStream);
    };
    const headers = { 'last-event-id': '4' };
    const { body, isWhole } = await callSpoiled(servicePaths.flow, startOver, headers);
    expect({ body, isWhole }).toEqual({ body: formatEvents(5, eventCount), isWhole: true });
  });
});

// Guards against a part of an event that looks like the end of a whole stream.
describe('a stream that ends inside an event, although its end was announced', () => {
  const endInside: UpstreamHandler = (request, response) => {
    beginStream(request, response);
    const first = readResumePoint(request) + 1;
    response.end(`${formatEvents(first, soundCount)}id: ${soundCount + 1}\ndata: tok`);
  };

  it('is continued at another upstream', async () => {
    const { body, isWhole } = await callSpoiled(servicePaths.flow, endInside);
    expect({ body, isWhole }).toEqual({ body: wholeStream, isWhole: true });
  });

  it('is broken off if it cannot be resumed', async () => {
    const { body, isWhole } = await callSpoiled(servicePaths.flowOnce, endInside);
    expect({ body, isWhole }).toEqual({ body: formatEvents(1, soundCount), isWhole: false });
  });
});

// Guards against refusing sound streams because of how their bytes arrive or how their upstream writes them.
describe('a sound stream', () => {
  const events = Array.from({ length: eventCount }, (_, index) => formatEvent(index + 1));
  const forms: Readonly<Record<string, readonly string[]>> = {
    'an event a write': events,
    'a byte a write': Array.from(events.join('')),
    'pairs of line ends': [events.join('').replaceAll('\n', '\r\n')],
    'versions of the weights': ['x-weight-versions: 3\n', events.join('')],
  };

  it.each(Object.entries(forms))('reaches its caller unchanged: %s', async (_, writes) => {
    const handle: UpstreamHandler = async (request, response) => {
      beginStream(request, response);
      for (const text of writes) {
        response.write(text);
        await new Promise((resolve) => setImmediate(resolve));
      }
      response.end();
    };
    const { body, isWhole } = await callSpoiled(servicePaths.flow, handle);
    expect({ body, isWhole }).toEqual({ body: writes.join(''), isWhole: true });
  });

  it('is recognized by its media type, whatever its parameters and letters', async () => {
    const handle: UpstreamHandler = (request, response) => {
      response.setHeader('content-type', 'Text/Event-Stream; charset=utf-8');
      const fields = { 'x-attempt-id': String(request.headers['x-attempt-id']) };
      response.writeHead(200, fields).end('data: of no run\n\n');
    };
    const { body } = await callSpoiled(servicePaths.flow, handle);
    expect(body).toBe(wholeStream);
  });

  it('is not expected of an upstream that rejects the request', async () => {
    const rejection = 'event: error\ndata: a part of the prompt is unknown\n\n';
    const { status, body } = await callSpoiled(servicePaths.flow, (request, response) => {
      const fields = { 'x-attempt-id': String(request.headers['x-attempt-id']) };
      response.writeHead(400, { ...fields, 'content-type': 'text/event-stream' }).end(rejection);
    });
    expect({ status, body }).toEqual({ status: 400, body: rejection });
  });

  it('is served again by an upstream that has sent a spoiled one', async () => {
    const [faulty] = service.upstreams;
    await callSpoiled(servicePaths.flow, (request, response) =>
      streamSpoiled(request, response, soundCount, 'no event\n\n', 'its end'),
    );
    const before = faulty?.received.length ?? 0;
    await waitFor('a request at each upstream', async () => {
      await service.call(0, servicePaths.flow);
      return (faulty?.received.length ?? 0) > before;
    });
  });
});
