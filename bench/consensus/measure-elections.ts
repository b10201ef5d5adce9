import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';
import { ControlGroup, createClaim, type MeasuredHost } from './control-group.js';

const rounds = 10;
const pollInterval = 5;
/** Commands submitted after the process of the leader has ended. */
const commandsAfter = 20;

/** From the end of the leader's process to the first command that another host commits. */
export async function measureElections(): Promise<string> {
  const control = await ControlGroup.start();
  try {
    const rows: string[][] = [];
    for (const signal of ['SIGKILL', 'SIGTERM'] as const) {
      const gaps: number[] = [];
      for (let round = 0; round < rounds; round += 1) {
        reportProgress(`elections: ${signal} ${round + 1} of ${rounds}`);
        gaps.push(await measureGap(control, signal, round));
      }
      gaps.sort((left, right) => left - right);
      const [median, highest] = [gaps[Math.floor(rounds / 2)] ?? 0, gaps.at(-1) ?? 0];
      rows.push([signal, String(rounds), formatFigure(median), formatFigure(highest)]);
    }
    const header = ['leader ended by', 'rounds', 'median ms', 'longest ms'];
    return formatMarkdownTable(header, rows);
  } finally {
    await control.stop();
  }
}

/** Commands go to the other hosts all the time; the gap is the longest time between two that were committed. */
async function measureGap(
  control: ControlGroup,
  signal: 'SIGKILL' | 'SIGTERM',
  round: number,
): Promise<number> {
  const leader = await control.findLeader();
  const others = control.hosts.filter((host) => host !== leader);
  await submitSomewhere(control, others, `${signal} ${round} before`);
  let committedAt = performance.now();
  let longest = 0;
  const end = { isOver: false };
  const ended = control.end(leader, signal).then(() => {
    end.isOver = true;
  });
  let commandsSinceEnd = 0;
  while (commandsSinceEnd < commandsAfter) {
    commandsSinceEnd += end.isOver ? 1 : 0;
    await submitSomewhere(control, others, `${signal} ${round} ${performance.now()}`);
    const now = performance.now();
    longest = Math.max(longest, now - committedAt);
    committedAt = now;
  }
  await ended;
  control.startHost(leader);
  await waitUntilPresent(control, leader);
  return longest;
}

async function submitSomewhere(
  control: ControlGroup,
  hosts: readonly MeasuredHost[],
  key: string,
): Promise<void> {
  for (let turn = 0; ; turn += 1) {
    const host = hosts[turn % hosts.length];
    // A claim that was uncertain is repeated with the same request, which is answered as the first.
    if (host !== undefined && (await control.submit(host, createClaim(key)).catch(() => false))) {
      return;
    }
    await sleep(pollInterval);
  }
}

async function waitUntilPresent(control: ControlGroup, host: MeasuredHost): Promise<void> {
  for (;;) {
    const view = await control.readControl(host).catch(() => undefined);
    if (view?.role === 'follower' && view.stalenessMilliseconds < 1000) {
      return;
    }
    await sleep(pollInterval * 10);
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
