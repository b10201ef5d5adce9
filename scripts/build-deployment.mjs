/** Bundles the programs for the platform into `target/`; one file a program. */
import { readdir } from 'node:fs/promises';
import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

const entryFolder = 'platform/bin';

const entries = (await readdir(entryFolder)).filter((name) => name.endsWith('.ts'));
await build({
  ...bundleOptions,
  entryPoints: entries.map((name) => `${entryFolder}/${name}`),
  outdir: 'target',
  outExtension: { '.js': '.js' },
});
console.log(`built ${entries.length} programs into target/`);
