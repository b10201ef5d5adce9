/**
 * Common interface of all decision logic: takes events, returns effects.
 * A controller uses no socket, timer, file or clock. A shell, the I/O code around it, executes the effects and
 * feeds the results back as events, so tests and benchmarks run the same code as a process.
 */
export interface Controller<Event, Effect> {
  readonly handle: (event: Event) => readonly Effect[];
}

/** Throws for a value that the types rule out; for `default` branches of exhaustive switches. */
export function assertNever(value: never): never {
  throw new Error(`unexpected case: ${JSON.stringify(value)}`);
}
