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
  handleSignals(lifecycle, logger);
  try {
    const outcome = await lifecycle.open();
    if (outcome === 'open') {
      logger.info('started');
    }
  } catch {
    process.exit(startFailedExitCode);
  }
}

/**
 * Closes the parts at the first stop signal and then ends the process. Later signals shorten nothing: supervisors and terminals repeat
 * them, and what is under way would be lost. The parts bound the time that their closing takes.
 */
function handleSignals(lifecycle: LifecycleManager, logger: Logger): void {
  const canReload = process.listenerCount('SIGHUP') > 0;
  let stoppingSince: Milliseconds | undefined;
  const receive = (signal: NodeJS.Signals): void => {
    const now = systemClock.monotonic();
    if (stoppingSince !== undefined) {
      const sinceFirst = Math.round(now - stoppingSince);
      logger.warn({ signal, sinceFirst }, 'signal while stopping');
      return;
    }
    if (signal === 'SIGHUP') {
      if (!canReload) {
        logger.info('SIGHUP: changed settings take effect at the next start');
      }
      return;
    }
    stoppingSince = now;
    logger.info({ signal }, 'stopping');
    void lifecycle.close().then(() => {
      logger.info('stopped');
      process.exit(0);
    });
  };
  // The default action of each of these would end the process and lose its work in progress.
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
    process.on(signal, receive);
  }
}

function describeError(error: unknown): object {
  if (error instanceof FailureError) {
    return { code: error.failure.code, error: error.message };
  }
  return { error: error instanceof Error ? (error.stack ?? error.message) : String(error) };
}
