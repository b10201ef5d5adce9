/** Asks the gateways of a fleet until all of them serve, and says what they responded last. */
import { describeAge, describeError } from './describe-error.js';

/** Time in milliseconds after which a request is given up, so that the next one can find the fleet ready. */
const responseTimeout = 10_000;
/** Maximum number of characters of a response in a message. */
const bodyLimit = 500;

/** A request that a fleet answers with status 200 once it is ready. */
export interface ReadinessRequest {
  readonly name: string;
  readonly send: (signal: AbortSignal) => Promise<Response>;
}

interface RequestOutcome {
  readonly isReady: boolean;
  readonly text: string;
  readonly at: number;
}

export class FleetReadiness {
  readonly #requests: readonly ReadinessRequest[];
  readonly #outcomes = new Map<string, RequestOutcome>();

  constructor(requests: readonly ReadinessRequest[]) {
    this.#requests = requests;
  }

  /** Sends all requests, one after the other. */
  async check(): Promise<boolean> {
    for (const { name, send } of this.#requests) {
      this.#outcomes.set(name, await findOutcome(send));
    }
    return [...this.#outcomes.values()].every(({ isReady }) => isReady);
  }

  /** The last outcome of each request. */
  describe(): readonly string[] {
    return this.#requests.map(({ name }) => {
      const outcome = this.#outcomes.get(name);
      return outcome === undefined
        ? `${name}: not asked`
        : `${name}, ${describeAge(outcome.at)}: ${outcome.text}`;
    });
  }
}

async function findOutcome(send: ReadinessRequest['send']): Promise<RequestOutcome> {
  try {
    const response = await send(AbortSignal.timeout(responseTimeout));
    const body = await response.text();
    const text = `${response.status} ${body.slice(0, bodyLimit)}`;
    return { isReady: response.status === 200, text, at: performance.now() };
  } catch (error) {
    return { isReady: false, text: describeError(error), at: performance.now() };
  }
}
