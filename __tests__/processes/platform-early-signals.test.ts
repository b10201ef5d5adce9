import { execFileSync } from 'node:child_process';
import { constants } from 'node:fs';
import { open, rename, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { ProgramGroup, reservePort, waitFor, type RunningProgram } from '../support/index.js';

/** Signals to programs that are still reading their settings. */

interface HeldProgram {
  readonly program: RunningProgram;
  /** Replaces the settings file while the program reads the earlier text. */
  readonly replaceSettings: () => Promise<void>;
  /** Lets the program read its settings to the end. */
  readonly finishSettings: () => Promise<void>;
}

/** A signal interrupts the opening of a pipe, which then starts again and needs the writer. */
const restartPeriod = 200;

type ProgramName = 'control' | 'gateway' | 'sidecar';

let group: ProgramGroup;

beforeEach(async () => {
  group = await ProgramGroup.create();
});

afterEach(async () => {
  await group.stop();
});

async function createSettings(name: ProgramName): Promise<object> {
  const reserve = async (): Promise<string> => `127.0.0.1:${await reservePort()}`;
  const seeds = { addresses: [await reserve()], port: await reservePort() };
  const shared = { failureDomain: 'z0', seeds };
  switch (name) {
    case 'control': {
      const dataFolder = join(group.folder, 'data');
      const own = { name: '127.0.0.1', region: 'r', listen: await reserve(), dataFolder };
      return { operators: await reserve(), control: { ...shared, ...own } };
    }
    case 'gateway':
      return { ...shared, name, listen: await reserve(), readiness: await reserve() };
    case 'sidecar':
      return { ...shared, host: name, engine: await reserve(), service: 'engines' };
  }
}

/** Starts a program whose settings file is a named pipe, so that it waits for its settings. */
async function startHeld(name: ProgramName): Promise<HeldProgram> {
  const text = JSON.stringify(await createSettings(name));
  const path = join(group.folder, 'settings.json');
  execFileSync('mkfifo', [path]);
  const program = group.start(`platform/${name}`, ['--settings', path]);
  const pipe = await waitFor('the program to read its settings', () => openForWriting(path));
  return {
    program,
    replaceSettings: async () => {
      await rename(await group.write('changed.json', `${text}\n`), path);
    },
    finishSettings: async () => {
      await pause(restartPeriod);
      await pipe.write(text);
      await pipe.close();
    },
  };
}

/** Fails until the pipe has a reader. */
function openForWriting(path: string): Promise<FileHandle> {
  return open(path, constants.O_WRONLY | constants.O_NONBLOCK);
}

const programNames: readonly ProgramName[] = ['control', 'gateway', 'sidecar'];

describe('a signal that arrives before a program has read its settings', () => {
  // Failure: the default action ends the process, and a supervisor takes a planned stop for a crash.
  it.each(programNames)('stops a %s as planned, without serving first', async (name) => {
    const { program, finishSettings } = await startHeld(name);
    program.signal('SIGTERM');
    await finishSettings();
    expect(await program.waitForExit()).toEqual({ code: 0, signal: null });
    expect(program.output).toContain('"msg":"stopped"');
    expect(program.output).not.toContain('"msg":"started"');
  });

  // Failure: a SIGHUP at the start ends the process, or the change that it announced is never read.
  it.each(programNames)('makes a %s read settings that changed meanwhile', async (name) => {
    const { program, replaceSettings, finishSettings } = await startHeld(name);
    program.signal('SIGHUP');
    await replaceSettings();
    await finishSettings();
    await program.waitForOutput(/"isChanged":true,"msg":"settings read again"/);
    await program.waitForOutput(/"msg":"started"/);
    expect(program.isRunning).toBe(true);
  });
});
