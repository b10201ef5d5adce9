import { readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';
import { z } from 'zod';

import { platformGatewaySettingsSchema } from '../../platform/gateway-settings.js';
import {
  controlSettingsSchema,
  listenAddressSchema,
  parseSettings,
} from '../../src/settings/index.js';

/** Renders deploy/settings by the rules that docs/design/uneven-load.md describes, as far as the templates use them. */

type Values = Readonly<Record<string, unknown>>;

interface Entry {
  readonly key: string;
  readonly isLast: boolean;
}

function find(values: Values, path: string): unknown {
  return path.split('.').reduce<unknown>((value, name) => {
    return (value as Values | undefined)?.[name];
  }, values);
}

function listEntries(value: unknown): readonly Entry[] {
  if (value === undefined) {
    return [];
  }
  const pairs: readonly (readonly [string, unknown])[] =
    typeof value === 'object' && value !== null ? Object.entries(value) : [['', value]];
  return pairs.map(([key], index) => {
    return { key, isLast: index === pairs.length - 1 };
  });
}

function render(template: string, values: Values, entry?: Entry): string {
  const sections = template.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_, path: string, content: string) => {
      return listEntries(find(values, path))
        .map((each) => render(content, values, each))
        .join('');
    },
  );
  return sections
    .replaceAll('{{@}}', entry?.key ?? '')
    .replaceAll('{{,}}', entry?.isLast === false ? ',' : '')
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path: string, json?: string) => {
      const value = find(values, path);
      return json === undefined ? String(value) : JSON.stringify(value);
    });
}

const values = {
  node: 'front-1',
  ip: '10.0.0.1',
  region: 'addis',
  zone: 'bole',
  data_dir: '/data',
  port_range: [7100],
  listen: { control: '10.0.0.1:7000', front: '10.0.0.1:7001', ready: '10.0.0.1:7002' },
  seed_addrs: ['10.0.0.1:7000'],
  tolerate: { machines: 2 },
  bounds: { retry_budget_ratio: 0.2, retry_budget_slack: 60 },
};
const withEvacuations = {
  ...values,
  bounds: { ...values.bounds, evacuate_ms: 5000 },
  zones: { bole: 'addis', kality: 'addis' },
};

function renderControl(present: Values) {
  const schema = z.strictObject({
    control: controlSettingsSchema,
    operators: listenAddressSchema,
    contracts: z.array(z.string()),
  });
  const text = render(readFileSync('deploy/settings/control.jsonc', 'utf8'), present);
  return parseSettings(schema, 'control.jsonc', text).unwrap().control;
}

function renderGateway(present: Values) {
  const text = render(readFileSync('deploy/settings/gateway.jsonc', 'utf8'), present);
  return parseSettings(platformGatewaySettingsSchema, 'gateway.jsonc', text).unwrap();
}

describe('templates of settings', () => {
  // Guards against processes that do not start, or that take part in evacuations, where the deployment has none.
  it('have no section on evacuations without a limit on them', () => {
    expect(renderControl(values).evacuation).toBeUndefined();
    expect(renderGateway(values).evacuation).toBeUndefined();
  });

  // Guards against control hosts that refuse evacuations of a domain, and gateways without a grace period, where the deployment has them.
  it('have the failure domains and the limit where the deployment has evacuations', () => {
    expect(renderControl(withEvacuations).evacuation).toEqual({
      failureDomains: ['bole', 'kality'],
      limitMilliseconds: 5000,
    });
    expect(renderGateway(withEvacuations).evacuation).toEqual({ limitMilliseconds: 5000 });
  });
});
