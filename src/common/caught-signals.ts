import { ProcessSignals } from './process-signals.js';

/**
 * The signals of this process. Programs import this module before all others: the evaluation of a module takes the longer the slower the
 * host, and a signal that arrives meanwhile would end the process.
 */
export const caughtSignals = new ProcessSignals();
