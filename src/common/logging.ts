import { pino, type Logger } from 'pino';

/** Levels that settings may name. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal' | 'silent';

/** A logger that writes one JSON object a line to standard output, with the name of the process in each. */
export function createLogger(name: string, level: LogLevel): Logger {
  return pino({ name, level, timestamp: pino.stdTimeFunctions.isoTime });
}
