import { findResultCode, formatFailure, type Failure } from '../common/index.js';
import type { ControlRefusal } from './control-client.js';
import type { CommandLineEnvironment } from './environment.js';
import { exitCodes, findExitCode, type ExitCode } from './exit-codes.js';

/** Writes results as text or, with `--json`, as one JSON value. */
export class Output {
  readonly #environment: CommandLineEnvironment;
  readonly #isJson: boolean;

  constructor(environment: CommandLineEnvironment, isJson: boolean) {
    this.#environment = environment;
    this.#isJson = isJson;
  }

  /** Writes the result of a successful command. */
  succeed(value: unknown, text: string): ExitCode {
    this.#environment.write(this.#isJson ? formatJson(value) : text);
    return exitCodes.ok;
  }

  /** Writes an extra line to standard error, so that standard output holds only the result. */
  note(text: string): void {
    this.#environment.writeError(`${text}\n`);
  }

  /** Writes a refusal by control; `hints` are extra lines of the text form. */
  refuse(refusal: ControlRefusal, extra: object = {}, hints: readonly string[] = []): ExitCode {
    if (this.#isJson) {
      this.#environment.write(formatJson({ ...describeRefusal(refusal), ...extra }));
    } else {
      const lines = [...formatRefusal(refusal), ...hints];
      this.#environment.writeError(lines.map((line) => `${line}\n`).join(''));
    }
    return findExitCode(refusal.failure);
  }

  /** Writes an error that the command line detected itself. */
  fail(exitCode: ExitCode, message: string): ExitCode {
    if (this.#isJson) {
      this.#environment.write(formatJson({ error: message }));
    } else {
      this.#environment.writeError(`${message}\n`);
    }
    return exitCode;
  }
}

function formatJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}

function describeRefusal(refusal: ControlRefusal): object {
  const { failure, winner, differences } = refusal;
  const { number, message, advice } = findResultCode(failure);
  const error = { code: failure.code, number, message, detail: failure.detail, advice };
  return { error, winner: winner ?? null, differences };
}

function formatRefusal(refusal: ControlRefusal): readonly string[] {
  const { failure, winner, differences } = refusal;
  return [
    formatFailure(failure),
    formatAdvice(failure),
    ...(winner === undefined
      ? []
      : [
          `winner: revision ${winner.revision} by ${winner.operator} at ${formatTime(winner.at)}`,
          `        ${winner.summary} (change id ${winner.changeId})`,
        ]),
    ...(differences.length === 0
      ? []
      : ['your change would still make this differ:', ...differences.map((line) => `  ${line}`)]),
  ];
}

function formatAdvice(failure: Failure): string {
  return `advice: ${findResultCode(failure).advice}`;
}

/** Formats a wall time as ISO 8601, to the second. */
export function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString().replace(/\.\d+Z$/, 'Z');
}
