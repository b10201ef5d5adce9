import {
  probeDelays,
  probeUntilRefused,
  type Clock,
  type Milliseconds,
  type ProbeVerdict,
  type RateLimitedLog,
} from '../../common/index.js';
import type { Target } from '../../dispatch/index.js';
import { formatIdentity, parseSubject, type CrashSubjectKey } from '../../routing/index.js';
import type { CrashLedger } from '../crashes/index.js';

/** Probes upstreams that interrupted responses, and records a crash for those that no longer accept connections. */

/** Subjects of each type in one log line. */
const maximumLoggedSubjects = 50;

export interface CrashWatchOptions {
  /** Checks whether an `ip:port` accepts connections. */
  readonly probe: (address: string) => Promise<ProbeVerdict>;
  readonly ledger: CrashLedger;
  readonly clock: Clock;
  readonly log: RateLimitedLog;
}

export class CrashWatch {
  readonly #options: CrashWatchOptions;
  /** Subjects of the requests that were interrupted, by key of the target being probed. */
  readonly #interrupted = new Map<string, Set<CrashSubjectKey>>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  /** Records that the target interrupted a request that was sent to it, and starts probing it unless a probe is pending. */
  noteBroken(target: Target, subjects: readonly CrashSubjectKey[]): void {
    const pending = this.#interrupted.get(target.key);
    if (pending !== undefined) {
      subjects.forEach((subject) => pending.add(subject));
      return;
    }
    const interrupted = new Set(subjects);
    this.#interrupted.set(target.key, interrupted);
    void this.#probeTarget(target, interrupted);
  }

  async #probeTarget(
    { key, address, instance }: Target,
    subjects: ReadonlySet<CrashSubjectKey>,
  ): Promise<void> {
    const verdict = await probeUntilRefused(() => this.#options.probe(address));
    this.#interrupted.delete(key);
    const upstream = formatIdentity(instance);
    if (verdict === 'refused') {
      this.#options.ledger.noteCrash(upstream, subjects, this.#options.clock.monotonic());
    }
    this.#options.log.info(
      { target: key, upstream, verdict, ...describeSubjects(subjects) },
      'upstream probed after interrupted responses',
    );
  }

  /**
   * Tells whether an upstream still accepts connections after a response that only the end of its connection delimits: if the upstream ended,
   * the response may have been interrupted. Goes on to record a crash or a complete response for the subjects.
   */
  async confirmEnd(
    { address, instance }: Target,
    subjects: readonly CrashSubjectKey[],
  ): Promise<ProbeVerdict> {
    const [firstDelay = 0, ...laterDelays] = probeDelays;
    const verdict = await probeUntilRefused(() => this.#options.probe(address), [firstDelay]);
    void this.#concludeEnd(formatIdentity(instance), address, subjects, verdict, laterDelays);
    return verdict;
  }

  async #concludeEnd(
    upstream: string,
    address: string,
    subjects: readonly CrashSubjectKey[],
    firstVerdict: ProbeVerdict,
    delays: readonly Milliseconds[],
  ): Promise<void> {
    const { ledger, clock, log } = this.#options;
    const verdict =
      firstVerdict === 'refused'
        ? firstVerdict
        : await probeUntilRefused(() => this.#options.probe(address), delays);
    switch (verdict) {
      case 'accepted':
        ledger.noteAnswered(subjects, clock.monotonic());
        break;
      case 'refused':
        ledger.noteCrash(upstream, subjects, clock.monotonic());
        log.info(
          { upstream, verdict, ...describeSubjects(new Set(subjects)) },
          'upstream ended with a response that has no length',
        );
        break;
      case 'unanswered':
        break;
    }
  }
}

function describeSubjects(keys: ReadonlySet<CrashSubjectKey>): object {
  const subjects = [...keys].map(parseSubject);
  const requests = subjects.flatMap((each) => (each.type === 'request' ? [each.digest] : []));
  const segments = subjects.flatMap((each) => (each.type === 'segment' ? [each.segment] : []));
  return {
    requests: requests.slice(0, maximumLoggedSubjects),
    ...(segments.length > 0 && { promptSegments: segments.slice(0, maximumLoggedSubjects) }),
  };
}
