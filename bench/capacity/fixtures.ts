/** What the benches of docs/CAPACITY.md run with: replicas of 4, and a configuration of 100 KB. */
import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import { configurationSchema } from '../../src/configuration/index.js';
import type { Configuration, HostFacts } from '../../src/model/index.js';

const replicaSize = 4;
/** About 330 bytes of JSON each; names and digests are random, so that they compress as real ones do. */
const accountCount = 300;
const noteBytes = 40;
const digestBytes = 32;

/** A configuration document of about 100 KB. */
export function createLargeConfiguration(): Configuration {
  const random = createRandomSource(1);
  return configurationSchema.parse({
    groups: [
      {
        name: 'assist-llm',
        hosts: { pool: ['llm'] },
        replicaSize,
        carries: { model: 'assist', version: '1' },
        reachableBy: { accounts: {} },
      },
    ],
    accounts: Array.from({ length: accountCount }, (_, index) => ({
      name: `account-${index}`,
      labels: { region: 'addis', note: createHexadecimal(random, noteBytes) },
      keySha256: createHexadecimal(random, digestBytes),
    })),
  });
}

/** Facts of one runner's host. */
export function createHostFacts(index: number): HostFacts {
  return {
    host: createHostName(index),
    incarnation: `incarnation-${index}`,
    address: createAddress(index),
    region: 'addis',
    failureDomain: 'bole',
    fabricDomain: `fabric-${Math.floor(index / 16)}`,
    accelerators: 8,
    labels: { pool: 'llm', generation: 'a' },
    upstream: {
      type: 'engine',
      loaded: [{ model: 'assist', version: '1', adapters: [] }],
      checksFencingNumber: true,
    },
    isHealthy: true,
    isDraining: false,
  };
}

function createHostName(index: number): string {
  return `llm-host-${index}`;
}

function createAddress(index: number): string {
  return `10.1.${Math.floor(index / 250)}.${(index % 250) + 1}:8500`;
}

function createHexadecimal(random: RandomSource, bytes: number): string {
  return Array.from({ length: bytes }, () =>
    random.integerBelow(256).toString(16).padStart(2, '0'),
  ).join('');
}
