import type { WallTime } from '../../common/index.js';
import type { Claim } from './state.js';

/** How long a claim is kept, counted from its own `at`; a repeat after that runs again. */
export const claimLifetimeMilliseconds = 24 * 60 * 60 * 1000;

const shardCount = 4096;

type Shard = ReadonlyMap<string, Claim>;

const emptyShard: Shard = new Map();

/**
 * The claims of idempotency keys; immutable, each change makes a new register.
 * Claims are spread over shards, so that a change copies a small part of them: with one map, a day's claims
 * (some hundred thousand) would be copied for each new one and control would fall behind.
 */
export class ClaimRegister {
  readonly #shards: readonly Shard[];

  private constructor(shards: readonly Shard[]) {
    this.#shards = shards;
  }

  static readonly empty = new ClaimRegister(Array.from({ length: shardCount }, () => emptyShard));

  static fromClaims(claims: Iterable<Claim>): ClaimRegister {
    const shards = Array.from({ length: shardCount }, () => new Map<string, Claim>());
    for (const claim of claims) {
      const name = formatClaimName(claim.account, claim.key);
      shards[findShardIndex(name)]?.set(name, claim);
    }
    return new ClaimRegister(shards);
  }

  /** The claim of a key that has not expired at `at`. */
  find(account: string, key: string, at: WallTime): Claim | undefined {
    const name = formatClaimName(account, key);
    const claim = this.#shards[findShardIndex(name)]?.get(name);
    return claim === undefined || isExpired(claim, at) ? undefined : claim;
  }

  /** Adds a claim, or replaces the one of its key; a shard stays in the order of `at`, so the oldest comes first. */
  with(claim: Claim): ClaimRegister {
    const name = formatClaimName(claim.account, claim.key);
    const index = findShardIndex(name);
    const shard = new Map(this.#shards[index]);
    if (shard.get(name)?.at !== claim.at) {
      shard.delete(name);
    }
    return this.#withShard(index, shard.set(name, claim));
  }

  /**
   * Drops the expired claims of one shard; `turn` is the log index, so the commands sweep all shards in turn.
   * The turn and `at` come from the command: every control host drops the same claims at the same index.
   */
  sweep(turn: number, at: WallTime): ClaimRegister {
    const index = turn % shardCount;
    const shard = this.#shards[index] ?? emptyShard;
    const oldest = shard.values().next().value;
    if (oldest === undefined || !isExpired(oldest, at)) {
      return this;
    }
    const kept = [...shard].filter(([, claim]) => !isExpired(claim, at));
    return this.#withShard(index, new Map(kept));
  }

  /** All claims held, expired ones that were not yet swept included. */
  list(): readonly Claim[] {
    return this.#shards.flatMap((shard) => [...shard.values()]);
  }

  #withShard(index: number, shard: Shard): ClaimRegister {
    return new ClaimRegister(this.#shards.with(index, shard));
  }
}

function isExpired(claim: Claim, at: WallTime): boolean {
  return at - claim.at >= claimLifetimeMilliseconds;
}

function formatClaimName(account: string, key: string): string {
  return JSON.stringify([account, key]);
}

/** FNV-1a over the UTF-16 units; only spreads claims, and must give the same shard on every control host. */
function findShardIndex(name: string): number {
  let hash = 0x811c9dc5;
  for (let position = 0; position < name.length; position += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(position), 0x01000193);
  }
  return (hash >>> 0) % shardCount;
}
