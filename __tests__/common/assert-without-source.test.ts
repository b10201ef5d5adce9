import { AssertionError } from 'node:assert';
import type assert from 'node:assert';
import { existsSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';

import { describe, expect, it } from 'vitest';

const require = createRequire(import.meta.url);
const replacement: typeof assert =
  require('../../scripts/assert-without-source.cjs') as typeof assert;

const failures: Readonly<Record<string, () => void>> = {
  assert: () => {
    replacement(false);
  },
  'assert.ok': () => {
    replacement.ok(0);
  },
  'assert.strict': () => {
    replacement.strict(undefined);
  },
  'assert.strict.ok': () => {
    replacement.strict.ok('');
  },
};

/** Imports of Node's module in a bundle. */
const assertImport = /(?:require\(|from ?|import\()["'](?:node:)?assert(?:\/strict)?["']/g;

// Guards against programs that parse their own source, for seconds if it is minified, to word the message of a failed assertion.
describe('the assertions of bundled packages', () => {
  it.each(Object.entries(failures))('fail with a message that quotes no source: %s', (_, fail) => {
    expect(fail).toThrow(AssertionError);
    expect(fail).toThrow(/^an assertion failed$/);
  });

  it('keep their own messages and errors', () => {
    expect(() => {
      replacement(false, 'not while paused');
    }).toThrow(/^not while paused$/);
    expect(() => {
      replacement.equal(1, 2);
    }).toThrow('1 == 2');
    expect(() => {
      replacement.ok(false, new TypeError('wrong type'));
    }).toThrow(TypeError);
  });

  it.each(['control', 'gateway', 'sidecar'])(
    'are replaced everywhere in the deployed %s',
    (name) => {
      const file = `dist/deployment/${name}.js`;
      expect(existsSync(file)).toBe(true);
      // The one that is left is that of the replacement.
      expect(readFileSync(file, 'utf8').match(assertImport)).toHaveLength(1);
    },
  );
});
