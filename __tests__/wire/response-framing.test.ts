import { describe, expect, it } from 'vitest';

import { isFramedResponse } from '../../src/wire/index.js';

// Guards against passing on the part of a response that arrived before its upstream crashed, because a transfer coding counted as a length.
describe('a response', () => {
  it.each([
    [200, { 'content-length': '7' }],
    [200, { 'transfer-encoding': 'chunked' }],
    [200, { 'transfer-encoding': 'gzip, Chunked ' }],
    [204, {}],
    [304, {}],
  ])('%d with %o delimits its body', (status, headers) => {
    expect(isFramedResponse(status, (name) => new Map(Object.entries(headers)).get(name))).toBe(
      true,
    );
  });

  it.each([
    [200, {}],
    [500, { 'content-type': 'text/plain' }],
    [200, { 'transfer-encoding': 'identity' }],
    [200, { 'transfer-encoding': 'gzip' }],
    [200, { 'transfer-encoding': 'chunked, gzip' }],
  ])('%d with %o does not', (status, headers) => {
    expect(isFramedResponse(status, (name) => new Map(Object.entries(headers)).get(name))).toBe(
      false,
    );
  });
});
