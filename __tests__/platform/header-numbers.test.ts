import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { platformDialect } from '../../platform/wire/requests.js';

/** Numbers, and what looks like one. */
const part = fc.oneof(
  fc.constantFrom('', ' ', '0', '6', '1.5', '-1', 'x', 'NaN', 'Infinity', '1e3', '1e999', '0x10'),
  fc.nat().map(String),
  fc.string({ maxLength: 400 }),
  fc.constant('9'.repeat(400)),
);
const fieldValue = fc.array(part, { maxLength: 5 }).map((parts) => parts.join(','));

function expectFinite(numbers: readonly (number | undefined)[]): void {
  for (const number of numbers) {
    expect(number === undefined || (Number.isFinite(number) && number >= 0)).toBe(true);
  }
}

// Guards against an upstream that gets no more requests from a gateway because of one wrong character in a header field.
describe('numbers in header fields', () => {
  it('are finite and not negative, or left out', () => {
    fc.assert(
      fc.property(fieldValue, (value) => {
        const { load, requestsPerSecond, coldFor, retryAfter } = platformDialect.readResponse(503, {
          'x-instance-load': value,
          'server-limit': value,
          'x-cold-ms': value,
          'retry-after': value,
        });
        expectFinite([requestsPerSecond, coldFor, retryAfter]);
        expectFinite([load?.running, load?.waiting, load?.slots]);
        const { tokens, timeLimit } = platformDialect.readRequest({
          'x-token-usage': value,
          'x-deadline-ms': value,
        });
        expectFinite([tokens?.prompt, tokens?.answer, timeLimit]);
      }),
      { seed: 20_261_206, numRuns: 5000 },
    );
  });

  it.each(['x,0,6', '1,,6', ',0,6', '1,0', '1,0,0', '-1,0,6', '1,0,1e999'])(
    'leave the load of an upstream as it was: %j',
    (value) => {
      const { load } = platformDialect.readResponse(200, { 'x-instance-load': value });
      expect(load).toBeUndefined();
    },
  );

  it.each([
    ['3,0,8', { running: 3, waiting: 0, slots: 8 }],
    ['3, 1, 8', { running: 3, waiting: 1, slots: 8 }],
  ])('tell the load of an upstream: %j', (value, load) => {
    expect(platformDialect.readResponse(200, { 'x-instance-load': value }).load).toEqual(load);
  });
});

// Guards against requests during a pause that an upstream asked for with more digits than a gateway read.
describe('decimals', () => {
  it('keep their value with all digits of their fraction', () => {
    const number = fc.double({ min: 1e-6, max: 1e14, noNaN: true });
    fc.assert(
      fc.property(number, (seconds) => {
        const { retryAfter, requestsPerSecond } = platformDialect.readResponse(503, {
          'retry-after': String(seconds),
          'server-limit': String(seconds),
        });
        expect(retryAfter).toBe(seconds * 1000);
        expect(requestsPerSecond).toBe(seconds);
      }),
      { seed: 20_261_207, numRuns: 5000 },
    );
  });
});
