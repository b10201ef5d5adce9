import { pino } from 'pino';
import { describe, expect, it } from 'vitest';

import { RateLimitedLog } from '../../src/common/index.js';

interface Line {
  readonly msg: string;
  readonly requestId: string;
  readonly leftOut?: number;
}

function createLog() {
  const lines: Line[] = [];
  const logger = pino({}, { write: (text: string) => lines.push(JSON.parse(text) as Line) });
  const clock = { now: 0 };
  const limits = { burst: 200, perSecond: 50 };
  const log = new RateLimitedLog(logger, { monotonic: () => clock.now, wall: () => 0 }, limits);
  return { lines, clock, log };
}

describe('rate-limited log', () => {
  it('limits a burst and reports the number of suppressed lines', () => {
    const { lines, clock, log } = createLog();
    for (let index = 0; index < 1000; index += 1) {
      log.info({ requestId: `r-${index}` }, 'request ended');
    }
    expect(lines).toHaveLength(200);
    clock.now = 1000;
    log.info({ requestId: 'later' }, 'request ended');
    expect(lines.at(-1)).toMatchObject({ requestId: 'later', leftOut: 800 });
  });

  it('writes every line below the limit', () => {
    const { lines, clock, log } = createLog();
    for (let index = 0; index < 400; index += 1) {
      clock.now += 20;
      log.info({ requestId: `r-${index}` }, 'request ended');
    }
    expect(lines).toHaveLength(400);
    expect(lines.every(({ leftOut }) => leftOut === undefined)).toBe(true);
  });
});
