import { createHash, timingSafeEqual } from 'node:crypto';

import type { Account } from '../../model/index.js';

const bearerPattern = /^Bearer ([^\s]+)$/i;

/**
 * Finds the client account of an Authorization header.
 * Every account is compared, in constant time, so that the duration reveals nothing about the keys.
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
