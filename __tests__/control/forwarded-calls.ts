import { pino } from 'pino';
import { Registry } from 'prom-client';

import { systemClock } from '../../src/common/index.js';
import { ForwardedCalls } from '../../src/control/forwarded-calls.js';

/** Measures forwarded calls without writing a log. */
export function createForwardedCalls(): ForwardedCalls {
  return new ForwardedCalls({
    clock: systemClock,
    logger: pino({ level: 'silent' }),
    registry: new Registry(),
  });
}
