/**
 * Development launcher: installs packages, builds, and runs every role as a separate process on loopback with
 * stand-in engines. Stops all processes on SIGINT. Not part of the system, whose processes never start one another.
 */
import { spawn, spawnSync } from 'node:child_process';
import { createWriteStream, mkdirSync, readFileSync, readdirSync, rmSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';

import { nodeFlags } from './node-flags.mjs';

const examples = 'examples/local';
const runFolder = 'run';
const gatewayAddress = '127.0.0.1:8400';
const demoKey = 'demo-key';
const readyTimeout = 60_000;
const pollInterval = 200;
const stopTimeout = 15_000;

const children = [];
let isStopping = false;
let isReady = false;

function runOnce(command, args) {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) {
    process.exit(status ?? 1);
  }
}

function startProgram(name, program, args) {
  const child = spawn(process.execPath, [...nodeFlags, `dist/${program}.js`, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    detached: true,
  });
  const log = createWriteStream(`${runFolder}/${name}.log`);
  child.stdout.pipe(log);
  child.stderr.pipe(log);
  const ended = new Promise((resolve) => {
    child.once('close', (code, signal) => {
      if (!isStopping) {
        console.error(`${name} ended (${signal ?? code}); see ${runFolder}/${name}.log`);
        log.end(() => {
          stopUnlessReady(name);
        });
      }
      resolve();
    });
  });
  children.push({ name, child, ended });
}

/** A program that ends during the start would leave a deployment that only seems to serve, for example through another instance. */
function stopUnlessReady(name) {
  if (isReady || isStopping) {
    return;
  }
  const lastLine = readFileSync(`${runFolder}/${name}.log`, 'utf8').trimEnd().split('\n').at(-1);
  console.error(`not started: ${lastLine}`);
  void stopAll(1);
}

function startSettings(folder, program) {
  const pattern = new RegExp(`^${program.replace('pistachiospoke-', '')}-.*\\.jsonc$`);
  const files = readdirSync(folder).filter((name) => pattern.test(name));
  for (const file of files) {
    startProgram(file.replace('.jsonc', ''), program, ['--settings', `${folder}/${file}`]);
  }
  return files.length;
}

/** A terminal sends Ctrl-C to npm as well, which passes it on: the second signal of one Ctrl-C must not leave programs behind. */
async function stopAll(status = 0) {
  if (isStopping) {
    console.log(`still stopping; after ${stopTimeout / 1000} s a program is killed`);
    return;
  }
  isStopping = true;
  console.log('\nstopping ...');
  for (const kind of ['gateway', 'sidecar', 'engine', 'service', 'control']) {
    const stopped = children.filter(({ name }) => name.startsWith(kind));
    for (const { child } of stopped) {
      child.kill('SIGTERM');
    }
    await Promise.race([Promise.all(stopped.map(({ ended }) => ended)), sleep(stopTimeout)]);
    for (const { child } of stopped) {
      child.kill('SIGKILL');
    }
  }
  console.log('stopped');
  process.exit(status);
}

async function waitFor(what, check) {
  const deadline = Date.now() + readyTimeout;
  while (Date.now() < deadline) {
    if (isStopping) {
      return;
    }
    if (await check().catch(() => false)) {
      console.log(`${what}: ready`);
      return;
    }
    await sleep(pollInterval);
  }
  console.error(`${what}: not ready after ${readyTimeout / 1000} s; see ${runFolder}/`);
  await stopAll(1);
}

function applyConfiguration() {
  const { status } = spawnSync(
    process.execPath,
    [
      'dist/pistachiospoke.js',
      'apply',
      `${examples}/configuration.jsonc`,
      '--control',
      '127.0.0.1:8501',
    ],
    { stdio: ['ignore', 'ignore', 'ignore'] },
  );
  return Promise.resolve(status === 0);
}

async function isAnswering() {
  const response = await fetch(`http://${gatewayAddress}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${demoKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'demo-model',
      max_tokens: 1,
      messages: [{ role: 'user', content: 'ready?' }],
    }),
  });
  await response.text();
  return response.status === 200;
}

runOnce(process.execPath, ['scripts/ensure-installed.mjs']);
runOnce(process.execPath, ['scripts/build.mjs']);
rmSync(runFolder, { recursive: true, force: true });
mkdirSync(runFolder, { recursive: true });
process.on('SIGINT', () => void stopAll());
process.on('SIGTERM', () => void stopAll());

const counts = {
  control: startSettings(examples, 'pistachiospoke-control'),
  sidecars: startSettings(examples, 'pistachiospoke-sidecar'),
  gateways: startSettings(examples, 'pistachiospoke-gateway'),
};
for (let index = 1; index <= 8; index += 1) {
  const address = `127.0.0.1:88${String(index).padStart(2, '0')}`;
  const sidecar = `127.0.0.1:87${String(index).padStart(2, '0')}`;
  startProgram(`engine-${index}`, 'pistachiospoke-stand-in', [
    'engine',
    '--listen',
    address,
    '--sidecar',
    sidecar,
  ]);
}
for (const index of [9, 10]) {
  const address = `127.0.0.1:88${String(index).padStart(2, '0')}`;
  const sidecar = `127.0.0.1:87${String(index).padStart(2, '0')}`;
  startProgram(`service-${index}`, 'pistachiospoke-stand-in', [
    'service',
    '--listen',
    address,
    '--sidecar',
    sidecar,
    '--service',
    'booking-desk',
  ]);
}
console.log(
  `started ${counts.control} control hosts, ${counts.gateways} gateways, ${counts.sidecars} sidecars, 8 engines, 2 services`,
);
await waitFor('configuration', applyConfiguration);
await waitFor('groups', isAnswering);
if (!isStopping) {
  isReady = true;
  console.log(`
Try:

  curl -N http://${gatewayAddress}/v1/chat/completions \\
    -H 'Authorization: Bearer ${demoKey}' -H 'Content-Type: application/json' \\
    -d '{"model":"demo-model","stream":true,"messages":[{"role":"user","content":"hello from pistachiospoke"}]}'

  node dist/pistachiospoke.js groups --control 127.0.0.1:8501

Logs are in ${runFolder}/. Stop with Ctrl-C.`);
}
