/**
 * `npm run bench -- NAME [options]`: bundles `bench/NAME.ts` and runs it; without a name, lists the benches.
 * A bench writes Markdown tables to standard output and progress messages to standard error.
 */
import { spawn, spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { readdir } from 'node:fs/promises';
import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

const benchFolder = 'bench';
const [name, ...benchArguments] = process.argv.slice(2);

if (name === undefined) {
  await listBenches();
} else if (!/^[a-z][a-z-]*$/.test(name) || !existsSync(`${benchFolder}/${name}.ts`)) {
  console.error(`there is no bench called ${name}`);
  await listBenches();
  process.exitCode = 2;
} else {
  await runBench(name, benchArguments);
}

async function listBenches() {
  const entries = await readdir(benchFolder, { withFileTypes: true });
  const names = entries
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => entry.name.replace(/\.ts$/, ''));
  console.error(`npm run bench -- NAME [options]; NAME is one of: ${names.sort().join(', ')}`);
}

async function runBench(benchName, options) {
  const outfile = `dist/bench/${benchName}.js`;
  // Benches may start the built programs; a stale build would measure outdated code.
  const built = spawnSync(process.execPath, ['scripts/build.mjs'], {
    stdio: ['ignore', process.stderr.fd, 'inherit'],
  });
  if (built.status !== 0) {
    process.exitCode = 1;
    return;
  }
  await build({ ...bundleOptions, entryPoints: [`${benchFolder}/${benchName}.ts`], outfile });
  const child = spawn(process.execPath, ['--expose-gc', outfile, ...options], { stdio: 'inherit' });
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, () => child.kill(signal));
  }
  child.on('exit', (code) => {
    process.exitCode = code ?? 1;
  });
}
