import type { Logger } from 'pino';

import { FailureError } from './failure.js';
import { LifecycleManager, type ManagedPart } from './lifecycle.js';

/** Runs the parts of a process until a signal asks it to stop. */

/** Exit code of a process that could not start. */
const startFailedExitCode = 1;

/** Opens the parts; SIGTERM and SIGINT close them in reverse order, which is a graceful shutdown. */
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
  for (const part of parts) {
    lifecycle.add(part);
  }
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      logger.info({ signal }, 'stopping');
      void lifecycle.close().then(() => {
        logger.info('stopped');
        process.exit(0);
      });
    });
  }
  if (process.listenerCount('SIGHUP') === 0) {
    // Unhandled, the signal would end the process with everything that it has under way.
    process.on('SIGHUP', () => {
      logger.info('SIGHUP: changed settings take effect at the next start');
    });
  }
  try {
    await lifecycle.open();
    logger.info('started');
  } catch {
    process.exit(startFailedExitCode);
  }
}

function describeError(error: unknown): object {
  if (error instanceof FailureError) {
    return { code: error.failure.code, error: error.message };
  }
  return { error: error instanceof Error ? (error.stack ?? error.message) : String(error) };
}
