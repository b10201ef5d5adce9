/** Text of an error and of all its causes; `fetch` tells what happened only in the cause. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error);
  }
  const text = error.message === '' ? error.name : error.message;
  return error.cause === undefined ? text : `${text}: ${describeError(error.cause)}`;
}

/** Age of a moment on the monotonic clock, for messages. */
export function describeAge(at: number): string {
  return `${((performance.now() - at) / 1000).toFixed(1)} s ago`;
}
