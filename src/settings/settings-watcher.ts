import { readFileSync } from 'node:fs';

import type { Logger } from 'pino';
import type { z } from 'zod';

import type { ManagedPart, Milliseconds } from '../common/index.js';
import { loadSettings } from './load.js';
import { formatProblem } from './problem.js';

/** Reloads the settings file of a running process when it changes. */

/** The file may change without a SIGHUP, so it is polled. A delay of this length before a change takes effect is harmless. */
const pollInterval: Milliseconds = 5000;

export interface SettingsWatcherOptions<Settings> {
  readonly schema: z.ZodType<Settings>;
  readonly file: string;
  /** Text that the current settings were loaded from. */
  readonly text: string;
  /** Called with the new settings if they are valid. */
  readonly onChange: (settings: Settings) => void;
  readonly logger: Logger;
}

/**
 * Reloads the settings on SIGHUP, and when polling finds that the file has changed.
 * Without a handler, SIGHUP would terminate the process and lose its work in progress. Invalid settings are logged and ignored:
 * the process continues with its current settings.
 */
export class SettingsWatcher<Settings> implements ManagedPart {
  readonly name = 'settings watch';
  readonly #options: SettingsWatcherOptions<Settings>;
  readonly #onSignal = (): void => {
    this.#read('SIGHUP');
  };
  #text: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SettingsWatcherOptions<Settings>) {
    this.#options = options;
    this.#text = options.text;
    // Registered here rather than in `open`, because the signal may arrive while the process is still starting.
    process.on('SIGHUP', this.#onSignal);
  }

  /** Also finds a change since the settings were loaded, whose SIGHUP may have come before there was a handler. */
  open(): void {
    this.#poll();
    this.#timer = setInterval(() => {
      this.#poll();
    }, pollInterval);
  }

  /** Keeps the SIGHUP handler, so that the signal cannot terminate a process that is shutting down. */
  close(): void {
    clearInterval(this.#timer);
  }

  #poll(): void {
    if (this.#readText() !== this.#text) {
      this.#read('poll');
    }
  }

  #read(cause: string): void {
    const { schema, file, onChange, logger } = this.#options;
    const text = this.#readText();
    const isChanged = text !== this.#text;
    this.#text = text;
    const loaded = loadSettings(schema, file);
    if (loaded.err) {
      const problems = loaded.val.map(formatProblem);
      logger.error({ cause, problems }, 'changed settings are wrong, the earlier ones stay');
      return;
    }
    logger.info({ cause, isChanged }, 'settings read again');
    onChange(loaded.val);
  }

  /** Returns undefined if the file cannot be read; it may be in the middle of being replaced. */
  #readText(): string | undefined {
    try {
      return readFileSync(this.#options.file, 'utf8');
    } catch {
      return undefined;
    }
  }
}
