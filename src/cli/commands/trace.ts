import type { CommandContext } from '../context.js';
import { exitCodes, type ExitCode } from '../exit-codes.js';
import { parseLog, type LogLine } from '../log-lines.js';
import { readFile } from './files.js';

/**
 * Lines about a target are shown from this long before the request's first line, in milliseconds: what became of a group some
 * seconds earlier decides where a request could go.
 */
const before = 5000;
/** Clocks of hosts differ by some hundred milliseconds. */
const after = 1000;

/** `trace`: what all processes wrote about one request, and about the targets that it was sent to. */
export function runTrace(
  context: CommandContext,
  requestId: string,
  files: readonly string[],
): ExitCode {
  const { output } = context;
  const lines: LogLine[] = [];
  for (const file of files) {
    const text = readFile(context, file);
    if (text.err) {
      return output.fail(exitCodes.invalidFile, text.val);
    }
    const log = parseLog(text.val);
    lines.push(...log.lines);
    if (log.unreadable > 0) {
      output.note(`${file}: ${log.unreadable} lines are none that a process of ours wrote`);
    }
  }
  const found = selectLines(lines, requestId);
  if (found.length === 0) {
    return output.fail(exitCodes.notFound, `no line names request ${requestId}`);
  }
  return output.succeed(found, formatLines(found));
}

/** Lines of the request, and those about its targets around that time, the oldest first. */
function selectLines(lines: readonly LogLine[], requestId: string): readonly LogLine[] {
  const own = lines.filter((line) => line.requestId === requestId);
  const times = own.map(({ at }) => at);
  const from = Math.min(...times) - before;
  const to = Math.max(...times) + after;
  const targets = new Set(
    own.flatMap(({ details: { target } }) =>
      typeof target === 'string' ? JSON.stringify(target) : [],
    ),
  );
  const related = lines.filter((line) => {
    const isNear = line.requestId === undefined && line.at >= from && line.at <= to;
    return isNear && namesOneOf(line, targets);
  });
  return [...own, ...related].sort((one, other) => one.at - other.at);
}

/** `targets` are names as they stand in JSON text, quotes included. */
function namesOneOf({ details }: LogLine, targets: ReadonlySet<string>): boolean {
  const text = JSON.stringify(details);
  return [...targets].some((target) => text.includes(target));
}

function formatLines(lines: readonly LogLine[]): string {
  const first = lines[0]?.at ?? 0;
  return lines
    .map(({ at, process, message, requestId, details }) => {
      const time = `${at - first} ms`.padStart(9);
      const mark = requestId === undefined ? ' ' : '*';
      return `${time} ${mark} ${process}: ${message} ${JSON.stringify(details)}\n`;
    })
    .join('');
}
