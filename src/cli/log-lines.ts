import { z } from 'zod';

import { parseJson } from '../common/index.js';

/** Parses the log lines that the processes of a deployment write. */

const lineSchema = z.looseObject({ time: z.iso.datetime(), name: z.string(), msg: z.string() });

/** Fields common to all lines, which are not part of the details. */
const envelopeFields: ReadonlySet<string> = new Set([
  'time',
  'name',
  'msg',
  'level',
  'pid',
  'hostname',
  'requestId',
]);

/** A parsed log line. */
export interface LogLine {
  /** Milliseconds since the Unix epoch, by the clock of the host that wrote the line. */
  readonly at: number;
  readonly process: string;
  readonly message: string;
  /** Undefined if the line does not concern a single request. */
  readonly requestId: string | undefined;
  /** All other fields of the line. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** The parsed lines of a file, and the number of lines in another format. */
export interface ParsedLog {
  readonly lines: readonly LogLine[];
  readonly unreadable: number;
}

/** Parses JSON lines, including lines that a log collector prefixed with a time or a name. */
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
  const details = Object.entries(parsed.data).filter(([field]) => !envelopeFields.has(field));
  return {
    at: Date.parse(time),
    process: name,
    message: msg,
    requestId: typeof requestId === 'string' ? requestId : undefined,
    details: Object.fromEntries(details),
  };
}
