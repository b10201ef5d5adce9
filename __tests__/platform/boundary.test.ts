import { readdirSync, readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';

/** The platform's names for calls, header fields and settings. */
const platformNames =
  /x-attempt-id|x-expect-instance|x-response-seal|x-token-usage|x-deadline-ms|x-not-executed|x-instance-|x-tenant|x-model|config\.put|config\.get|instances\.(heartbeat|leave)|fabric_domain|path_prefix|api_keys|seed_addrs|fleetbench/i;

describe('the boundary to the platform', () => {
  it('is kept: no file under src/ contains the names of the platform', () => {
    const files = readdirSync('src', { recursive: true, encoding: 'utf8' })
      .filter((file) => file.endsWith('.ts') && !file.startsWith('generated'))
      .map((file) => `src/${file}`);
    const found = files.filter((file) => platformNames.test(readFileSync(file, 'utf8')));
    expect(files.length).toBeGreaterThan(200);
    expect(found).toEqual([]);
  });
});
