/** Bundles each entry file of a folder into a separate program, which can be executed. */
import { chmod, readdir } from 'node:fs/promises';
import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

/** Returns the names of the programs; `options` are those of esbuild. */
export async function bundlePrograms(entryFolder, outdir, options = bundleOptions) {
  const entries = (await readdir(entryFolder)).filter((name) => name.endsWith('.ts'));
  const entryPoints = entries.map((name) => `${entryFolder}/${name}`);
  await build({ ...options, entryPoints, outdir });
  const names = entries.map((name) => name.replace(/\.ts$/, ''));
  for (const name of names) {
    await chmod(`${outdir}/${name}.js`, 0o755);
  }
  return names;
}
