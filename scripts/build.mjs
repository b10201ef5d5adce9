/** Bundles each binary into `dist/`, one file per binary, so that a host needs no node_modules. */
import { chmod } from 'node:fs/promises';

import { bundlePrograms } from './bundle-programs.mjs';

const names = await bundlePrograms('src/bin', 'dist');
for (const name of names) {
  await chmod(`dist/${name}.js`, 0o755);
}
const platformNames = await bundlePrograms('platform/bin', 'dist/platform');
console.log(`built ${names.length + platformNames.length} programs into dist/`);
