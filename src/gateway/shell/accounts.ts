import { createHash, timingSafeEqual } from 'node:crypto';

import type { Account } from '../../model/index.js';

const bearerPattern = /^Bearer ([^\s]+)$/i;

/**
 * Finds the client account of an Authorization header.
 * All accounts are compared in constant time: how long it takes says nothing about the keys.
 */
export function findAccount(
  authorization: string | undefined,
  accounts: readonly Account[],
): Account | undefined {
  const key = bearerPattern.exec(authorization ?? '')?.[1];
  if (key === undefined) {
    return undefined;
  }
  const digest = createHash('sha256').update(key).digest();
  let found: Account | undefined;
  for (const account of accounts) {
    if (timingSafeEqual(digest, Buffer.from(account.keySha256, 'hex'))) {
      found = account;
    }
  }
  return found;
}
