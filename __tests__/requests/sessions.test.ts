import { describe, expect, it } from 'vitest';

import { World, type WorldOptions, type WorldRequest } from '../../bench/requests/world.js';
import {
  RequestController,
  type RequestEffect,
  type RequestEvent,
} from '../../src/gateway/index.js';
import {
  AttemptController,
  type AttemptEffect,
  type AttemptEvent,
} from '../../src/sidecar/attempts/index.js';

const request: WorldRequest = {
  gateway: 0,
  account: 'small',
  isNonIdempotent: false,
  key: undefined,
  timeout: 8000,
  work: {
    contentType: 'text/event-stream',
    firstChunkAfter: 100,
    chunkInterval: 400,
    chunks: 4,
  },
  affinityKey: 'prefix',
};

/** A scripted run of a simulated world. */
interface Session {
  readonly name: string;
  readonly until: number;
  readonly options?: Partial<WorldOptions>;
  readonly act: (world: World) => void;
}

const sessions: readonly Session[] = [
  {
    name: 'whole-answer',
    until: 2000,
    act: (world) => {
      world.submit(request);
    },
  },
  {
    name: 'silent-connection-resumed',
    until: 4000,
    act: (world) => {
      world.submit(request);
      world.loop.after(550, () => world.gateways[0]?.silenceConnections());
    },
  },
  {
    name: 'silent-connection-tombstone',
    until: 24_000,
    options: { sidecars: 2 },
    act: (world) => {
      world.submit({ ...request, isNonIdempotent: true });
      world.loop.after(2500, () => {
        world.gateways[0]?.silenceConnections();
        world.submit({ ...request, isNonIdempotent: true });
      });
    },
  },
  {
    name: 'restart-leaves-unknown',
    until: 4000,
    act: (world) => {
      world.submit({ ...request, isNonIdempotent: true });
      world.loop.after(300, () => {
        world.sidecars.forEach((_, index) => {
          world.restartSidecar(index);
        });
      });
    },
  },
  {
    name: 'broken-stream',
    until: 2000,
    act: (world) => {
      world.submit(request);
      world.loop.after(550, () => {
        world.sidecars.forEach((sidecar) => (sidecar.isEngineBroken = true));
      });
    },
  },
  {
    name: 'key-through-two-gateways',
    until: 4000,
    act: (world) => {
      const keyed = { ...request, isNonIdempotent: true, key: 'application-17' };
      world.submit(keyed);
      world.loop.after(200, () => world.submit({ ...keyed, gateway: 1 }));
      world.loop.after(3000, () => world.submit({ ...keyed, gateway: 1 }));
    },
  },
  {
    name: 'overload',
    until: 3000,
    options: { sidecars: 1, concurrency: 1 },
    act: (world) => {
      [0, 10, 20].forEach((at) => {
        world.loop.after(at, () => world.submit({ ...request, account: 'large' }));
      });
    },
  },
];

describe('golden sessions of requests', () => {
  it.each(sessions)('$name', async (session) => {
    const lines = record(session);
    await expect(`${lines.join('\n')}\n`).toMatchFileSnapshot(
      `../golden/requests/${session.name}.txt`,
    );
  });
});

/** Runs a session and records every event and effect except keep-alives and ticks without effects. */
function record(session: Session): readonly string[] {
  const lines: string[] = [];
  let world: World | undefined = undefined;
  const note = (actor: string, arrow: string, what: object): void => {
    const time = (world?.loop.now ?? 0).toFixed(1).padStart(8);
    lines.push(`${time} ${actor} ${arrow} ${format(what)}`);
  };
  const observe = <Event extends RequestEvent | AttemptEvent, Effect extends object>(
    actor: string,
    handle: (event: Event) => readonly Effect[],
  ) => ({
    handle: (event: Event): readonly Effect[] => {
      const effects = handle(event);
      if (!isQuiet(event, effects)) {
        note(actor, '<-', event);
        effects.forEach((effect) => {
          note(actor, '->', effect);
        });
      }
      return effects;
    },
  });
  world = new World({
    seed: 7,
    gateways: 2,
    sidecars: 3,
    concurrency: 2,
    createRequest: (facts, dependencies) => {
      const controller = new RequestController(facts, dependencies);
      return observe<RequestEvent, RequestEffect>(`request ${facts.id}`, (event) =>
        controller.handle(event),
      );
    },
    createAttempts: (incarnation) => {
      const controller = new AttemptController(incarnation);
      return observe<AttemptEvent, AttemptEffect>(`sidecar ${incarnation}`, (event) =>
        controller.handle(event),
      );
    },
    ...session.options,
  });
  session.act(world);
  world.run(session.until, 50);
  return lines;
}

function isQuiet(event: RequestEvent | AttemptEvent, effects: readonly object[]): boolean {
  if (event.type === 'keepAlive') {
    return true;
  }
  const isKeepAlive = (effect: object): boolean => JSON.stringify(effect).includes('"keepAlive"');
  return event.type === 'tick' && effects.every(isKeepAlive);
}

function format(what: object): string {
  return JSON.stringify(what, (key, value: unknown) => {
    if (key === 'now' || key === 'wallNow') {
      return undefined;
    }
    if (value instanceof Uint8Array || (value as { type?: string } | null)?.type === 'Buffer') {
      const data = value instanceof Uint8Array ? value : (value as { data: number[] }).data;
      return Buffer.from(data).toString();
    }
    return typeof value === 'number' ? Math.round(value * 10) / 10 : value;
  });
}
