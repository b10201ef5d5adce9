import type { CommandContext } from '../context.js';
import { exitCodes, type ExitCode } from '../exit-codes.js';
import { parseLog, type LogLine } from '../log-lines.js';
import { readFile } from './files.js';

/**
 * How long before the request's first line to include lines about its targets, in milliseconds. What happened to a group
 * some seconds earlier decides where a request could be routed.
 */
const lookback = 5000;
/** Extra time after the request's last line, in milliseconds: clocks of hosts differ by some hundred milliseconds. */
const clockSkewAllowance = 1000;

/** `trace`: shows what all processes logged about one request and about its targets. */
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

/** Selects the lines of the request and those about its targets around that time, oldest first. */
function selectLines(lines: readonly LogLine[], requestId: string): readonly LogLine[] {
  const own = lines.filter((line) => line.requestId === requestId);
  const times = own.map(({ at }) => at);
  const from = Math.min(...times) - lookback;
  const to = Math.max(...times) + clockSkewAllowance;
  const targets = new Set(
    own.flatMap(({ details: { target } }) =>
      typeof target === 'string' ? JSON.stringify(target) : [],
    ),
  );
  const related = lines.filter((line) => {
    const isNear = line.requestId === undefined && line.at >= from && line.at <= to;
    return isNear && mentionsAnyTarget(line, targets);
  });
  return [...own, ...related].sort((one, other) => one.at - other.at);
}

/** `targets` are JSON-encoded names, quotes included, so that one name does not match the prefix of another. */
function mentionsAnyTarget({ details }: LogLine, targets: ReadonlySet<string>): boolean {
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
