import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Runs a case, writes its record, and ends with the code that tells whether the rule was broken. */

export const isTrouble = process.env.TROUBLE !== '0';

/** What was sent, answered and run, in milliseconds from the start of the case. */
export class Record {
  #lines = [];
  #start = performance.now();

  note(text, at = performance.now()) {
    this.#lines.push(`${(at - this.#start).toFixed(0).padStart(6)}  ${text}`);
  }

  /** Lines in the order of their times; `head` stands before them. */
  write(folder, head) {
    const lines = [...this.#lines].sort(
      (one, other) => Number.parseInt(one) - Number.parseInt(other),
    );
    writeFileSync(join(folder, 'record.txt'), [...head, '', ...lines, ''].join('\n'));
  }
}

/** Notes a line for each request: when it was sent, where and when it ran, and how and when it was answered. */
export function noteRequests(record, requests, runners) {
  const runs = new Map();
  for (const { id: runner, arrivals } of runners) {
    for (const { attempt, at } of arrivals) {
      runs.set(attempt, [...(runs.get(attempt) ?? []), { runner, at }]);
    }
  }
  for (const { id, to, answer, sentAt, answeredAt } of requests) {
    const ran = (runs.get(id) ?? []).map(
      ({ runner, at }) => `${runner} after ${(at - sentAt).toFixed(0)} ms`,
    );
    const run = ran.length === 0 ? 'not run' : `run by ${ran.join(' and ')}`;
    record.note(
      `${id} sent to ${to}; ${run}; ${answer} after ${(answeredAt - sentAt).toFixed(0)} ms`,
      sentAt,
    );
  }
}

/** `play` resolves with what broke the rule, empty if it held. */
export async function runCase({ folder, deployment, play, cleanUp }) {
  const record = new Record();
  // The time for the case is over; what it started ends with this process.
  process.on('SIGTERM', () => process.exit(2));
  let code = 2;
  let head = [];
  try {
    await deployment.start();
    const breaks = await play(record);
    code = breaks.length > 0 ? 1 : 0;
    head = [code === 1 ? 'The rule was broken:' : 'The rule held.', ...breaks];
  } catch (error) {
    head = [`The case could not run: ${String(error)}`];
  }
  cleanUp();
  await deployment.stop();
  record.write(folder, [`Disruption: ${isTrouble ? 'yes' : 'no'}`, ...head]);
  console.log(head.join('\n'));
  process.exit(code);
}
