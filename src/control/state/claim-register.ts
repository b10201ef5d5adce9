import type { WallTime } from '../../common/index.js';
import type { Claim } from './state.js';

/** How long a claim is kept, counted from its own `at`; a repeated request runs again after that. */
export const claimLifetimeMilliseconds = 24 * 60 * 60 * 1000;

const shardCount = 4096;

type Shard = ReadonlyMap<string, Claim>;

const emptyShard: Shard = new Map();

/**
 * Claims of idempotency keys; immutable, each change returns a new register.
 * Claims are sharded, so that a change copies only a small part of them. With a single map, a day's claims (a few
 * hundred thousand) would be copied for each new one, and control could not keep up.
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

  /** Adds a claim, or replaces the one of its key. A shard stays ordered by `at`, oldest first. */
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
   * Drops the expired claims of one shard, which `logIndex` selects, so that successive commands sweep all shards.
   * The index and `at` come from the log, so every control host drops the same claims at the same index.
   */
  sweep(logIndex: number, at: WallTime): ClaimRegister {
    const index = logIndex % shardCount;
    const shard = this.#shards[index] ?? emptyShard;
    const oldest = shard.values().next().value;
    if (oldest === undefined || !isExpired(oldest, at)) {
      return this;
    }
    const kept = [...shard].filter(([, claim]) => !isExpired(claim, at));
    return this.#withShard(index, new Map(kept));
  }

  /** All claims, including expired ones that have not been swept yet. */
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

/** Selects a shard by FNV-1a over the UTF-16 code units; must give the same shard on every control host. */
function findShardIndex(name: string): number {
  let hash = 0x811c9dc5;
  for (let position = 0; position < name.length; position += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(position), 0x01000193);
  }
  return (hash >>> 0) % shardCount;
}
