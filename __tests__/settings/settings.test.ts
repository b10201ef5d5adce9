import { describe, expect, it } from 'vitest';

import { parseAddress } from '../../src/common/index.js';
import {
  controlSettingsSchema,
  formatProblem,
  gatewaySettingsSchema,
  loadSettings,
  parseOverride,
  parseSettings,
  routingGatewaySettingsSchema,
  sidecarSettingsSchema,
  type SettingsOverride,
} from '../../src/settings/index.js';

const gatewayText = `{
  // An entry host in bole.
  "name": "gateway-1",
  "region": "addis",
  "failureDomain": "bole",
  "listen": "0.0.0.0:8400",
  "internal": "10.0.0.4:8410",
  "control": ["10.0.0.1:8501"],
}`;

function findProblems(
  text: string,
  overrides: readonly SettingsOverride[] = [],
): readonly string[] {
  const result = parseSettings(gatewaySettingsSchema, 'gateway.jsonc', text, overrides);
  return result.ok ? [] : result.val.map(formatProblem);
}

describe('settings', () => {
  // Guards against gateways that fail to start with "expected int, received number". Operators scale the limits to the size of a
  // deployment, so the retry budget need not be an integer.
  it('accepts a retry burst that is not an integer', () => {
    const text = `{
      "name": "gateway-1",
      "failureDomain": "bole",
      "listen": "10.0.0.4:8400",
      "readiness": "10.0.0.4:8401",
      "seeds": { "addresses": ["10.0.0.1:8501"], "port": 7340 },
      "bounds": { "repeatShare": 0.2, "repeatBurst": 60.5 },
    }`;
    const settings = parseSettings(routingGatewaySettingsSchema, 'gateway.jsonc', text).unwrap();
    expect(settings.bounds.repeatBurst).toBe(60.5);
  });

  it('applies defaults for omitted settings', () => {
    const settings = parseSettings(gatewaySettingsSchema, 'gateway.jsonc', gatewayText).unwrap();
    expect(settings.limits.requestTimeoutMilliseconds).toBe(120_000);
    expect(settings.log.level).toBe('info');
    expect(settings.metrics).toBeUndefined();
  });

  it('reports line, column and what was expected', () => {
    const text = gatewayText
      .replace('"gateway-1"', '17')
      .replace('"10.0.0.4:8410"', '"entry-host:8410"')
      .replace('"region"', '"regoin"');
    expect(findProblems(text)).toEqual([
      'gateway.jsonc:3:3: error: name: expected string, received number',
      'gateway.jsonc:1:1: error: region: missing, expected string',
      'gateway.jsonc:7:3: error: internal: expected an IP number with a port, such as 10.0.0.7:8400 or [fd00::7]:8400',
      'gateway.jsonc:4:3: error: regoin: unknown name, expected one of: name, region, failureDomain, listen, internal, control, limits, inbound, shutdown, log, metrics',
    ]);
  });

  it('reports the location of a syntax error', () => {
    const text = gatewayText.replace('"bole",', '"bole"');
    expect(findProblems(text)).toEqual(['gateway.jsonc:6:3: error: not valid JSON: CommaExpected']);
    expect(findProblems('')).toEqual(['gateway.jsonc:1:1: error: the file is empty']);
  });

  // Guards against a gateway that listens on another address than the settings seem to say. An operator adds a line and
  // overlooks that the same name is already further down; JSON parsers silently use the last of two equal names.
  it('rejects duplicate names', () => {
    const text = gatewayText.replace('"region"', '"listen": "10.0.0.4:8499", "region"');
    expect(findProblems(text)).toEqual([
      'gateway.jsonc:6:3: error: listen: this name stands twice in one object, expected once',
    ]);
  });

  // Guards against hosts that connect to themselves, or to nothing, when they use an announced address. This happens when the
  // address to bind is also the address to announce: a sidecar listens on all interfaces and announces 0.0.0.0 to control.
  it('rejects the unspecified address for an announced address', () => {
    const text = gatewayText.replace('10.0.0.4:8410', '0.0.0.0:8410');
    expect(findProblems(text)).toEqual([
      'gateway.jsonc:7:3: error: internal: expected the IP number by which other hosts reach this one, not all interfaces',
    ]);
  });

  it('gives flags precedence over the file and reports their problems at the flag', () => {
    const level = parseOverride('log.level=debug') ?? { path: '', value: '' };
    const wrong = parseOverride('limits.maximumBodyBytes=many') ?? { path: '', value: '' };
    const settings = parseSettings(gatewaySettingsSchema, 'gateway.jsonc', gatewayText, [level]);
    expect(settings.unwrap().log.level).toBe('debug');
    expect(findProblems(gatewayText, [level, wrong])).toEqual([
      '--set limits.maximumBodyBytes: error: limits.maximumBodyBytes: expected number, received string',
    ]);
    expect(parseOverride('log.level')).toBeUndefined();
  });

  it('reports a file that cannot be read', () => {
    const result = loadSettings(sidecarSettingsSchema, '/nowhere/sidecar.jsonc');
    expect(result.err && result.val.map((problem) => problem.message)).toEqual([
      expect.stringContaining('cannot be read: ENOENT'),
    ]);
  });

  it('rejects duplicate voters and an election timeout too short for the heartbeat interval', () => {
    const text = JSON.stringify({
      name: 'control-1',
      region: 'addis',
      failureDomain: 'bole',
      listen: '10.0.0.1:8501',
      voters: [
        { name: 'control-1', address: '10.0.0.1:8501' },
        { name: 'control-1', address: '10.0.0.2:8501' },
      ],
      dataFolder: 'data',
      timeouts: { heartbeatMilliseconds: 500, electionMilliseconds: 600 },
    });
    const result = parseSettings(controlSettingsSchema, 'control.jsonc', text);
    expect(result.err && result.val.map((problem) => problem.path)).toEqual([
      'voters[1]',
      'timeouts',
    ]);
  });
});

describe('addresses', () => {
  it('accepts only IP addresses with a port', () => {
    expect(parseAddress('10.0.0.7:8400')).toEqual({ host: '10.0.0.7', port: 8400 });
    expect(parseAddress('[fd00::7]:8400')).toEqual({ host: 'fd00::7', port: 8400 });
    for (const text of [
      'localhost:80',
      '10.0.0.7',
      '10.0.0.7:0',
      '10.0.0.7:70000',
      '[10.0.0.7]:1',
    ]) {
      expect(parseAddress(text)).toBeUndefined();
    }
  });
});
