import { z } from 'zod';

import { parseJson } from '../common/index.js';

/** Reads the log lines that the processes of a deployment write. */

const lineSchema = z.looseObject({ time: z.iso.datetime(), name: z.string(), msg: z.string() });

/** Fields that are of the line, not of what it says. */
const ownFields: ReadonlySet<string> = new Set([
  'time',
  'name',
  'msg',
  'level',
  'pid',
  'hostname',
  'requestId',
]);

/** One line of a log. */
export interface LogLine {
  /** Milliseconds since the epoch, by the clock of the host that wrote it. */
  readonly at: number;
  readonly process: string;
  readonly message: string;
  /** Undefined where the line is about no single request. */
  readonly requestId: string | undefined;
  /** Everything else that the line says. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** The lines of a file, and how many of them are none that a process of ours wrote. */
export interface ParsedLog {
  readonly lines: readonly LogLine[];
  readonly unreadable: number;
}

/** Takes JSON lines, also those that a collector put a time or a name before. */
export function parseLog(text: string): ParsedLog {
  const rows = text.split('\n').filter((row) => row.trim() !== '');
  const lines = rows.flatMap((row) => parseLine(row) ?? []);
  return { lines, unreadable: rows.length - lines.length };
}

function parseLine(row: string): LogLine | undefined {
  const start = row.indexOf('{');
  const parsed = lineSchema.safeParse(start === -1 ? undefined : parseJson(row.slice(start)));
  if (!parsed.success) {
    return undefined;
  }
  const { time, name, msg, requestId } = parsed.data;
  const details = Object.entries(parsed.data).filter(([field]) => !ownFields.has(field));
  return {
    at: Date.parse(time),
    process: name,
    message: msg,
    requestId: typeof requestId === 'string' ? requestId : undefined,
    details: Object.fromEntries(details),
  };
}
