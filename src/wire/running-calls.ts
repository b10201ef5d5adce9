import type { Interceptor } from '@connectrpc/connect';

import { pause, type Milliseconds } from '../common/index.js';

/** The unary calls that an RPC server is answering. Streams are not among them: they last as long as their peers. */
export class RunningCalls {
  readonly #running = new Set<Promise<unknown>>();

  readonly interceptor: Interceptor = (next) => (request) => {
    const answer = next(request);
    if (!request.stream) {
      const ended = answer.then(ignore, ignore);
      this.#running.add(ended);
      void ended.then(() => this.#running.delete(ended));
    }
    return answer;
  };

  /** Resolves once the calls that are running now have ended, or the time limit has. */
  async finish(limit: Milliseconds): Promise<void> {
    const ended = new AbortController();
    const timeout = pause(limit, ended.signal);
    await Promise.race([Promise.all(this.#running), timeout]);
    ended.abort();
  }
}

function ignore(): void {
  // The caller receives the outcome.
}
