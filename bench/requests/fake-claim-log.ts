import type { Milliseconds, RandomSource, ResultCodeName } from '../../src/common/index.js';
import type { ClaimOutcome, RequestFacts } from '../../src/gateway/index.js';
import type { VirtualLoop } from './virtual-loop.js';

interface Held {
  readonly requestId: string;
  readonly fingerprint: string;
  state: 'running' | 'ran' | 'unknown';
}

const commitDelay: Milliseconds = 3;
const lateBy: Milliseconds = 4000;

/** The replicated log as far as claims need it; its answers may be lost or late. */
export class FakeClaimLog {
  readonly #loop: VirtualLoop;
  readonly #random: RandomSource;
  /** Share of answers that never come although the claim is committed late. */
  readonly #uncertain: number;
  readonly #held = new Map<string, Held>();

  constructor(loop: VirtualLoop, random: RandomSource, uncertain: number) {
    this.#loop = loop;
    this.#random = random;
    this.#uncertain = uncertain;
  }

  claim(facts: RequestFacts, answer: (code: ResultCodeName) => void): void {
    const isUncertain = this.#uncertain > 0 && this.#random.fraction() < this.#uncertain;
    const delay = isUncertain ? this.#random.fraction() * lateBy : commitDelay;
    this.#loop.after(delay, () => {
      answer(this.#apply(facts));
    });
  }

  settle(facts: RequestFacts, outcome: ClaimOutcome): void {
    this.#loop.after(commitDelay, () => {
      const key = keyOf(facts);
      const held = this.#held.get(key);
      if (held?.requestId !== facts.id) {
        return;
      }
      if (outcome === 'notRun') {
        this.#held.delete(key);
      } else {
        held.state = outcome;
      }
    });
  }

  #apply(facts: RequestFacts): ResultCodeName {
    const key = keyOf(facts);
    const held = this.#held.get(key);
    const fingerprint = facts.claim?.fingerprint ?? '';
    if (held === undefined) {
      this.#held.set(key, { requestId: facts.id, fingerprint, state: 'running' });
      return 'ok';
    }
    if (held.fingerprint !== fingerprint) {
      return 'idempotencyConflict';
    }
    return held.state === 'ran' ? 'duplicateFinished' : 'duplicateInProgress';
  }
}

function keyOf(facts: RequestFacts): string {
  return `${facts.account}/${facts.claim?.key ?? ''}`;
}
