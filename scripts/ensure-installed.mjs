/** Installs the declared packages when `node_modules` is missing, so that a fresh clone starts with one command. */
import { existsSync } from 'node:fs';
import { spawnSync } from 'node:child_process';

if (!existsSync('node_modules/.package-lock.json')) {
  console.log('installing packages (npm ci) ...');
  const result = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  process.exitCode = result.status ?? 1;
}
