import type { Logger } from 'pino';
import { Gauge, type Registry } from 'prom-client';

import { listQuarantined, parseSubject, type CrashSubjectKey } from '../../routing/index.js';
import type { ControlState, RoutingState } from '../state/index.js';

/** Shows on a control host which subjects are quarantined, since when and for which crashes. */

export interface QuarantineObserverOptions {
  readonly readState: () => ControlState;
  readonly logger: Logger;
  readonly registry: Registry;
}

export class QuarantineObserver {
  readonly #options: QuarantineObserverOptions;
  #suspects: RoutingState['suspects'] = new Map();
  #quarantined: ReadonlySet<CrashSubjectKey> = new Set();

  constructor(options: QuarantineObserverOptions) {
    this.#options = options;
    const registers = [options.registry];
    const quarantined = new Gauge({
      name: 'pistachiospoke_quarantined_subjects',
      help: 'Requests and prompt segments that gateways do not send because upstreams crashed while they ran.',
      labelNames: ['type'] as const,
      registers,
      collect: () => {
        const types = [...this.#quarantined].map((key) => parseSubject(key).type);
        for (const type of ['request', 'segment'] as const) {
          quarantined.set({ type }, types.filter((each) => each === type).length);
        }
      },
    });
    const suspects = new Gauge({
      name: 'pistachiospoke_crash_suspects',
      help: 'Requests and prompt segments that were in flight when upstreams crashed and have not been answered since.',
      registers,
      collect: () => {
        suspects.set(options.readState().routing.suspects.size);
      },
    });
  }

  /** Called after each applied command. */
  handleState({ routing: { suspects } }: ControlState): void {
    if (suspects === this.#suspects) {
      return;
    }
    const before = this.#quarantined;
    this.#suspects = suspects;
    this.#quarantined = listQuarantined(suspects);
    for (const key of this.#quarantined) {
      if (!before.has(key)) {
        this.#logStart(key);
      }
    }
    for (const key of before) {
      if (!this.#quarantined.has(key)) {
        this.#options.logger.info({ subject: key, ...parseSubject(key) }, 'quarantine ended');
      }
    }
  }

  #logStart(key: CrashSubjectKey): void {
    const { upstreams = [], since } = this.#suspects.get(key) ?? {};
    const firstCrash = since === undefined ? undefined : new Date(since).toISOString();
    const fields = { subject: key, ...parseSubject(key), upstreams, firstCrash };
    this.#options.logger.warn(
      fields,
      'quarantine started: upstreams crashed while the subject ran',
    );
  }
}
