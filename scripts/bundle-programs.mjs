/** Bundles each entry file of a folder into a program of its own. */
import { readdir } from 'node:fs/promises';
import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

/** Answers the names of the programs; `options` go to esbuild. */
export async function bundlePrograms(entryFolder, outdir, options = {}) {
  const entries = (await readdir(entryFolder)).filter((name) => name.endsWith('.ts'));
  const entryPoints = entries.map((name) => `${entryFolder}/${name}`);
  await build({ ...bundleOptions, ...options, entryPoints, outdir });
  return entries.map((name) => name.replace(/\.ts$/, ''));
}
