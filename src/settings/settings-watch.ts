import { readFileSync } from 'node:fs';

import type { Logger } from 'pino';
import type { z } from 'zod';

import type { ManagedPart, Milliseconds } from '../common/index.js';
import { loadSettings } from './load.js';
import { formatProblem } from './problem.js';

/** Notices that the settings file of a running process changed. */

/** The file may change without a signal; a change that is noticed this much late harms nobody. */
const pollInterval: Milliseconds = 5000;

/** Options of the watch. */
export interface SettingsWatchOptions<Settings> {
  readonly schema: z.ZodType<Settings>;
  readonly file: string;
  /** Takes settings that pass their checks. */
  readonly onChange: (settings: Settings) => void;
  readonly logger: Logger;
}

/**
 * Reads the settings again on SIGHUP, and when the file changed without it.
 * A process that does not handle SIGHUP is ended by it, with everything that it has under way. Settings that do not pass their
 * checks are logged and left: the process goes on with those it has.
 */
export class SettingsWatch<Settings> implements ManagedPart {
  readonly name = 'settings watch';
  readonly #options: SettingsWatchOptions<Settings>;
  readonly #onSignal = (): void => {
    this.#read('SIGHUP');
  };
  #text: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SettingsWatchOptions<Settings>) {
    this.#options = options;
    this.#text = this.#readText();
    // From now on, not from `open`: the signal may come while the process still starts.
    process.on('SIGHUP', this.#onSignal);
  }

  open(): void {
    this.#timer = setInterval(() => {
      if (this.#readText() !== this.#text) {
        this.#read('poll');
      }
    }, pollInterval);
  }

  /** Goes on taking the signal: a process that is stopping must not be ended by it. */
  close(): void {
    clearInterval(this.#timer);
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

  /** Undefined where the file cannot be read now; it may be on its way to its place. */
  #readText(): string | undefined {
    try {
      return readFileSync(this.#options.file, 'utf8');
    } catch {
      return undefined;
    }
  }
}
