/**
 * The shape of every decision in the system: events in, effects out.
 * A controller holds no socket, timer, file or clock; a shell carries its effects out and
 * hands the results back as events, so tests and benches drive the same code as a process.
 */
export interface Controller<Event, Effect> {
  readonly handle: (event: Event) => readonly Effect[];
}

/** Reports a case that the types say cannot happen, for `default` branches of exhaustive switches. */
export function assertNever(value: never): never {
  throw new Error(`unexpected case: ${JSON.stringify(value)}`);
}
