import { existsSync, readdirSync, readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';
import { z } from 'zod';

import { configurationSchema } from '../../src/configuration/index.js';
import {
  controlSettingsSchema,
  engineSidecarSettingsSchema,
  gatewaySettingsSchema,
  routingGatewaySettingsSchema,
  sidecarSettingsSchema,
} from '../../src/settings/index.js';

/** The properties of a JSON schema that describe settings. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly default?: unknown;
}

/** A setting and its default as JSON text; undefined if it has no default. */
interface NamedSetting {
  readonly path: string;
  readonly defaultText: string | undefined;
}

function listSettings(node: SchemaNode, prefix: string): readonly NamedSetting[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, inner]) => {
    const path = `${prefix}${name}`;
    const value = inner.default === undefined ? undefined : JSON.stringify(inner.default);
    const separator = inner.items?.properties === undefined ? '.' : '[].';
    const own = inner.properties === undefined ? [{ path, defaultText: value }] : [];
    return [...own, ...listSettings(inner.items ?? inner, `${path}${separator}`)];
  });
}

function readSection(page: string, title: string): string {
  const text = readFileSync(page, 'utf8');
  const start = text.indexOf(`\n## ${title}\n`);
  const end = text.indexOf('\n## ', start + 1);
  return start < 0 ? '' : text.slice(start, end < 0 ? undefined : end);
}

/** Finds settings that have no row in the page, or a row with a different default. */
function findUndescribed(schema: z.ZodType, section: string): readonly string[] {
  const node = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as SchemaNode;
  const rows = section.split('\n').map((line) => line.split('|').map((cell) => cell.trim()));
  return listSettings(node, '')
    .filter(({ path, defaultText }) => {
      const row = rows.find((cells) => cells[1] === `\`${path}\``);
      const isDefaultRight = defaultText === undefined || row?.[2] === `\`${defaultText}\``;
      return row === undefined || !isDefaultRight;
    })
    .map(({ path, defaultText }) => `${path} ${defaultText ?? ''}`);
}

describe('pages of settings and configuration', () => {
  it.each([
    ['docs/SETTINGS.md', 'pistachiospoke-gateway', gatewaySettingsSchema],
    ['docs/SETTINGS.md', 'pistachiospoke-sidecar', sidecarSettingsSchema],
    ['docs/SETTINGS.md', 'pistachiospoke-control', controlSettingsSchema],
    [
      'docs/SETTINGS.md',
      'Gateway that sends requests straight to upstreams',
      routingGatewaySettingsSchema,
    ],
    [
      'docs/SETTINGS.md',
      'Sidecar of an engine that holds its own membership',
      engineSidecarSettingsSchema,
    ],
    ['docs/CONFIGURATION.md', 'The document', configurationSchema],
  ])('%s, "%s", has a row with the right default for each', (page, title, schema) => {
    expect(findUndescribed(schema, readSection(page, title))).toEqual([]);
  });
});

function listMetrics(): readonly string[] {
  const files = readdirSync('src', { recursive: true }).map((name) => `src/${String(name)}`);
  const names = files
    .filter((file) => file.endsWith('.ts'))
    .flatMap((file) => [
      ...readFileSync(file, 'utf8').matchAll(/metrics\.(?:increment|timing|gauge)\(\s*'([^']+)'/g),
    ])
    .flatMap((match) => match[1] ?? []);
  return [...new Set(names)].sort();
}

describe('docs/METRICS.md', () => {
  it('lists the metrics that the source sends, and no others', () => {
    const rows = readFileSync('docs/METRICS.md', 'utf8').matchAll(/^\| `([^`]+)`/gm);
    expect([...rows].map((match) => match[1]).sort()).toEqual(listMetrics());
  });
});

const pages = [
  'README.md',
  ...['CONFIGURATION', 'GLOSSARY', 'METRICS', 'OPERATORS', 'RESULT-CODES', 'SETTINGS'].map(
    (name) => `docs/${name}.md`,
  ),
];

describe('links', () => {
  it.each(pages)('of %s lead to files', (page) => {
    const folder = page.includes('/') ? 'docs/' : '';
    const links = [...readFileSync(page, 'utf8').matchAll(/\]\(([^)#]+)/g)].map(
      (match) => match[1],
    );
    expect(links.filter((link) => !existsSync(`${folder}${link ?? ''}`))).toEqual([]);
  });
});
