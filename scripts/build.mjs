/** Bundles each binary into `dist/`; one file a binary, so that a host needs no node_modules. */
import { chmod, readdir } from 'node:fs/promises';
import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

const entryFolder = 'src/bin';

const entries = (await readdir(entryFolder)).filter((name) => name.endsWith('.ts'));
await build({
  ...bundleOptions,
  entryPoints: entries.map((name) => `${entryFolder}/${name}`),
  outdir: 'dist',
});
for (const name of entries) {
  await chmod(`dist/${name.replace(/\.ts$/, '.js')}`, 0o755);
}
console.log(`built ${entries.length} programs into dist/`);
