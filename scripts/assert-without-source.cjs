/**
 * Stands in for `node:assert` in the bundled programs. Without a message, `assert` and `assert.ok` of Node parse the source of the
 * program to quote the failed expression, again for each part of its line that they read. The lines of a minified program are so long
 * that this takes seconds, in one turn of the event loop.
 */
const nodeAssert = require('node:assert');

const defaultMessage = 'an assertion failed';

/** Throws an AssertionError with the given message, or the given error itself, if the value is falsy. */
function assert(value, message) {
  if (value) {
    return;
  }
  if (message instanceof Error) {
    throw message;
  }
  throw new nodeAssert.AssertionError({
    message: message ?? defaultMessage,
    actual: value,
    expected: true,
    operator: '==',
    stackStartFn: assert,
  });
}

module.exports = Object.assign(assert, nodeAssert, {
  ok: assert,
  strict: Object.assign(assert.bind(undefined), nodeAssert.strict, { ok: assert }),
});
