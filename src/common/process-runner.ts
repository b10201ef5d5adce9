import type { Logger } from 'pino';

import { EventLoopWatch } from './event-loop-watch.js';
import { FailureError } from './failure.js';
import { LifecycleManager, type ManagedPart } from './lifecycle.js';
import { systemClock, type Milliseconds } from './time.js';

/** Runs the parts of a process until it receives a termination signal. */

/** Exit code of a process that could not start. */
const startFailedExitCode = 1;

/** Opens the parts in order. SIGTERM and SIGINT shut down gracefully by closing them in reverse order. */
export async function runProcess(parts: readonly ManagedPart[], logger: Logger): Promise<void> {
  const lifecycle = new LifecycleManager({
    opened: (part) => {
      logger.debug({ part }, 'opened');
    },
    closed: (part) => {
      logger.debug({ part }, 'closed');
    },
    failed: (part, error) => {
      logger.error({ part, ...describeError(error) }, 'part failed');
    },
  });
  const watch = new EventLoopWatch({ clock: systemClock, logger });
  for (const part of [watch, ...parts]) {
    lifecycle.add(part);
  }
  let stoppingSince: Milliseconds | undefined;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      stoppingSince ??= systemClock.monotonic();
      logger.info({ signal }, 'stopping');
      void lifecycle.close().then(() => {
        logger.info('stopped');
        process.exit(0);
      });
    });
  }
  if (process.listenerCount('SIGHUP') === 0) {
    // The default action of SIGHUP would terminate the process and lose its work in progress.
    process.on('SIGHUP', () => {
      logger.info('SIGHUP: changed settings take effect at the next start');
    });
  }
  logSignalsWhileStopping(logger, () => stoppingSince);
  try {
    await lifecycle.open();
    logger.info('started');
  } catch {
    process.exit(startFailedExitCode);
  }
}

/** Logs each signal that arrives after the first one; its effect stays as it is without the log. */
function logSignalsWhileStopping(
  logger: Logger,
  readStoppingSince: () => Milliseconds | undefined,
): void {
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
    const logSignal = (): void => {
      const since = readStoppingSince();
      if (since === undefined) {
        return;
      }
      const sinceFirst = Math.round(systemClock.monotonic() - since);
      logger.warn({ signal, sinceFirst }, 'signal while stopping');
      if (process.listenerCount(signal) === 1) {
        process.off(signal, logSignal);
        process.kill(process.pid, signal);
      }
    };
    process.prependListener(signal, logSignal);
  }
}

function describeError(error: unknown): object {
  if (error instanceof FailureError) {
    return { code: error.failure.code, error: error.message };
  }
  return { error: error instanceof Error ? (error.stack ?? error.message) : String(error) };
}
