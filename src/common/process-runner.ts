import { setImmediate as nextTurn } from 'node:timers/promises';

import type { Logger } from 'pino';

import { EventLoopWatch } from './event-loop-watch.js';
import { FailureError } from './failure.js';
import { LifecycleManager, type ManagedPart } from './lifecycle.js';
import type { ProcessSignals, ReceivedSignal } from './process-signals.js';
import { systemClock, type Milliseconds } from './time.js';

/** Runs the parts of a process until it receives a termination signal. */

/** Exit code of a process that could not start. */
const startFailedExitCode = 1;

/** Opens the parts in order. SIGTERM and SIGINT shut down gracefully by closing them in reverse order. */
export async function runProcess(
  parts: readonly ManagedPart[],
  logger: Logger,
  signals: ProcessSignals,
): Promise<void> {
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
  handleSignals(lifecycle, logger, signals);
  await receiveEarlySignals();
  try {
    const outcome = await lifecycle.open();
    if (outcome === 'open') {
      logger.info('started');
    }
  } catch {
    process.exit(startFailedExitCode);
  }
}

/** Lets the event loop deliver the signals that arrived while the program was loading: it polls between two turns. */
async function receiveEarlySignals(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

/**
 * Closes the parts at the first stop signal and then ends the process. Later signals shorten nothing: supervisors and terminals repeat
 * them, and what is under way would be lost. The parts bound the time that their closing takes.
 */
function handleSignals(lifecycle: LifecycleManager, logger: Logger, signals: ProcessSignals): void {
  // A process that reads its settings again listens for SIGHUP itself.
  const canReload = process.listenerCount('SIGHUP') > 1;
  let stoppingSince: Milliseconds | undefined;
  signals.setHandler(({ signal, at }: ReceivedSignal): void => {
    if (stoppingSince !== undefined) {
      const sinceFirst = Math.round(at - stoppingSince);
      logger.warn({ signal, sinceFirst }, 'signal while stopping');
      return;
    }
    if (signal === 'SIGHUP') {
      if (!canReload) {
        logger.info('SIGHUP: changed settings take effect at the next start');
      }
      return;
    }
    stoppingSince = at;
    logger.info({ signal }, 'stopping');
    void lifecycle.close().then(() => {
      logger.info('stopped');
      process.exit(0);
    });
  });
}

function describeError(error: unknown): object {
  if (error instanceof FailureError) {
    return { code: error.failure.code, error: error.message };
  }
  return { error: error instanceof Error ? (error.stack ?? error.message) : String(error) };
}
