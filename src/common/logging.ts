import { pino, type Logger } from 'pino';

/** Log levels allowed in settings. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal' | 'silent';

/** Creates a logger that writes JSON lines to standard output, each with the name of the process. */
export function createLogger(name: string, level: LogLevel): Logger {
  return pino({ name, level, timestamp: pino.stdTimeFunctions.isoTime });
}
