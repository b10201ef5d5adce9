import { describe, expect, it } from 'vitest';

import {
  checkConfiguration,
  describeDifferences,
  parseConfiguration,
  summarizeDifferences,
} from '../../src/configuration/index.js';
import { formatProblem } from '../../src/settings/index.js';

const keyA = 'a'.repeat(64);
const keyB = 'b'.repeat(64);

const text = `{
  "groups": [
    {
      "name": "assist-llm",
      "hosts": { "pool": ["llm"] },
      "replicaSize": 4,
      "carries": { "model": "assist", "version": "1" },
      "reachableBy": { "accounts": {}, "services": ["rental-desk"] },
    },
    {
      "name": "assist-next",
      "hosts": { "pool": ["next"] },
      "replicaSize": 4,
      "carries": { "model": "assist", "version": "2" },
      "reachableBy": { "accounts": { "trial": ["yes"] } },
    },
  ],
  "services": [
    { "name": "rental-desk", "hosts": {}, "reachableBy": { "accounts": {} } },
  ],
  "accounts": [
    { "name": "head-office", "keySha256": "${keyA}" },
    { "name": "desk", "keySha256": "${keyB}", "service": "rental-desk" },
  ],
  "objectives": [{ "target": "assist-llm", "availability": 0.999 }],
}`;

function findProblems(document: string): readonly string[] {
  const result = checkConfiguration(document, 'c.jsonc');
  return (result.ok ? result.val.warnings : result.val).map(formatProblem);
}

describe('configuration documents', () => {
  it('accepts a valid document without warnings', () => {
    expect(findProblems(text)).toEqual([]);
    expect(parseConfiguration(text, 'c.jsonc').unwrap().groups).toHaveLength(2);
  });

  it('reports the line of schema violations nested inside lists', () => {
    const document = text
      .replace('"replicaSize": 4', '"replicaSize": 0')
      .replace('"model"', '"modle"');
    expect(findProblems(document)).toEqual([
      'c.jsonc:6:7: error: groups[0].replicaSize: Too small: expected number to be >=1',
      'c.jsonc:7:7: error: groups[0].carries.model: missing, expected string',
      'c.jsonc:7:20: error: groups[0].carries.modle: unknown name, expected one of: model, version, adapters',
    ]);
  });

  // Guards against requests of one client account counting against another, or reaching groups that they should not.
  // An operator copies an account and changes only its name: two accounts then share a key, and their order decides which of
  // them a caller is identified as.
  it('rejects duplicate names and keys', () => {
    const document = text.replace(keyB, keyA).replace('"assist-next"', '"rental-desk"');
    expect(findProblems(document)).toEqual([
      'c.jsonc:19:7: error: services[0].name: expected one of its own, but groups 1 has it too',
      'c.jsonc:23:23: error: accounts[1].keySha256: expected one of its own, but accounts 0 has it too',
    ]);
  });

  it('rejects undeclared names', () => {
    const document = text
      .replace('"services": ["rental-desk"]', '"services": ["rentals"]')
      .replace('"target": "assist-llm"', '"target": "assist"');
    expect(findProblems(document)).toEqual([
      'c.jsonc:8:53: error: groups[0].reachableBy.services[0]: "rentals" is not declared, expected one of: rental-desk',
      'c.jsonc:25:20: error: objectives[0].target: "assist" is not declared, expected one of: assist-llm, assist-next, rental-desk',
    ]);
  });

  it('warns of hosts that match two group declarations', () => {
    const document = text.replace('["next"]', '["next", "llm"]');
    expect(findProblems(document)).toEqual([
      'c.jsonc:12:7: warning: groups[1].hosts: a host could match these hosts and those of "assist-llm" too',
    ]);
  });
});

describe('differences of configurations', () => {
  it('describes each changed part or value in one line', () => {
    const before = parseConfiguration(text, 'c.jsonc').unwrap();
    const changed = text
      .replace('"replicaSize": 4', '"replicaSize": 8, "replicas": 2')
      .replace('"assist-next"', '"assist-later"')
      .replace('"objectives"', '"policy": { "concurrentLoads": 2 }, "objectives"');
    const after = parseConfiguration(changed, 'c.jsonc').unwrap();
    const lines = describeDifferences(before, after);
    expect(lines).toEqual([
      'group assist-llm: replicaSize 4 -> 8',
      'group assist-llm: replicas unset -> 2',
      'group assist-next removed',
      'group assist-later added',
      'policy: concurrentLoads 8 -> 2',
    ]);
    expect(summarizeDifferences(lines, 2)).toBe(
      'group assist-llm: replicaSize 4 -> 8; group assist-llm: replicas unset -> 2; and 3 more',
    );
    expect(summarizeDifferences(describeDifferences(before, before))).toBe('nothing');
  });
});
