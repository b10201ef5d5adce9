import { pause, type RateLimitedLog, type Clock, type Milliseconds } from '../../common/index.js';
import type { Target } from '../../dispatch/index.js';
import { formatIdentity } from '../../routing/index.js';
import type { CrashLedger } from './crash-ledger.js';
import type { ProbeVerdict } from './upstream-probe.js';

/** Probes upstreams that interrupted responses, and records a crash for those that no longer accept connections. */

/** Delay before each probe. An upstream that ends may close its connections shortly before its listening socket. */
const probeDelays: readonly Milliseconds[] = [20, 250];

export interface CrashWatchOptions {
  /** Checks whether an `ip:port` accepts connections. */
  readonly probe: (address: string) => Promise<ProbeVerdict>;
  readonly ledger: CrashLedger;
  readonly clock: Clock;
  readonly log: RateLimitedLog;
}

export class CrashWatch {
  readonly #options: CrashWatchOptions;
  /** Digests of the requests that were interrupted, by key of the target being probed. */
  readonly #brokenRequests = new Map<string, Set<string>>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  /** Records that the target interrupted a request that was sent to it, and starts probing it unless a probe is pending. */
  noteBroken(target: Target, requestDigest: string): void {
    const pending = this.#brokenRequests.get(target.key);
    if (pending !== undefined) {
      pending.add(requestDigest);
      return;
    }
    const digests = new Set([requestDigest]);
    this.#brokenRequests.set(target.key, digests);
    void this.#probeTarget(target, digests);
  }

  async #probeTarget(
    { key, address, instance }: Target,
    digests: ReadonlySet<string>,
  ): Promise<void> {
    const verdict = await this.#probeUntilRefused(address);
    this.#brokenRequests.delete(key);
    const upstream = formatIdentity(instance);
    if (verdict === 'refused') {
      this.#options.ledger.noteCrash(upstream, digests, this.#options.clock.monotonic());
    }
    this.#options.log.info(
      { target: key, upstream, verdict, requests: [...digests] },
      'upstream probed after interrupted responses',
    );
  }

  /** Stops at the first refusal; an accepted connection is probed again, as the upstream may still be ending. */
  async #probeUntilRefused(address: string): Promise<ProbeVerdict> {
    let verdict: ProbeVerdict = 'unanswered';
    for (const delay of probeDelays) {
      await pause(delay, new AbortController().signal);
      verdict = await this.#options.probe(address);
      if (verdict === 'refused') {
        break;
      }
    }
    return verdict;
  }
}
