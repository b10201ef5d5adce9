/** Bundles each binary into `dist/`; one file a binary, so that a host needs no node_modules. */
import { chmod, readdir } from 'node:fs/promises';
import { build } from 'esbuild';

const entryFolder = 'src/bin';
const requireBanner =
  "import { createRequire as createRequireForBundle } from 'node:module';\n" +
  'const require = createRequireForBundle(import.meta.url);';

const entries = (await readdir(entryFolder)).filter((name) => name.endsWith('.ts'));
await build({
  entryPoints: entries.map((name) => `${entryFolder}/${name}`),
  outdir: 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  banner: { js: `#!/usr/bin/env node\n${requireBanner}` },
  logLevel: 'warning',
});
for (const name of entries) {
  await chmod(`dist/${name.replace(/\.ts$/, '.js')}`, 0o755);
}
console.log(`built ${entries.length} programs into dist/`);
