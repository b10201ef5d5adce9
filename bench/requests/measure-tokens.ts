/** What a token costs the lead sidecar and the gateway: built programs, a token every 42 ms on each stream. */
import { Fleet, waitFor } from '../../__tests__/support/index.js';
import {
  formatFigure,
  formatMarkdownTable,
  reportProgress,
  sumProcessUsage,
} from '../support/index.js';

/** As many as the group of the fleet takes at a time, less a few. */
const streams = 60;
const tokenMilliseconds = 42;
const seconds = 10;
/** Enough for the settling, both readings and some more. */
const tokens = 500;
const settleMilliseconds = 3000;

/** Processor time beyond that of the quiet process, for each token. */
export async function measureTokens(): Promise<string> {
  reportProgress('cost of a token over processes');
  const fleet = await Fleet.start({ tokenMilliseconds, serviceHosts: 0 });
  const lead = await findLead(fleet);
  const members = [lead, 'gateway-1'];
  const quiet = await measureCpu(fleet, members);
  const caller = new AbortController();
  const counter = { tokens: 0 };
  const answers = Array.from({ length: streams }, (_, index) =>
    readStream(fleet, `stream${index}`, caller.signal, counter),
  );
  await sleep(settleMilliseconds);
  const before = counter.tokens;
  const busy = await measureCpu(fleet, members);
  const passed = counter.tokens - before;
  caller.abort();
  await Promise.allSettled(answers);
  await fleet.stop();
  const rows = members.map((member, index) => {
    const cpu = (busy[index] ?? 0) - (quiet[index] ?? 0);
    const name = member === lead ? 'lead sidecar' : 'gateway';
    return [name, formatFigure(passed / seconds), formatFigure((cpu * 1000) / passed)];
  });
  return formatMarkdownTable(['process', 'tokens/s', 'us / token'], rows);
}

/** Milliseconds of processor time that each member takes in the interval. */
async function measureCpu(fleet: Fleet, members: readonly string[]): Promise<readonly number[]> {
  const read = (): readonly number[] =>
    members.map((name) => sumProcessUsage([fleet.member(name).program.pid]).cpuMilliseconds);
  const before = read();
  await sleep(seconds * 1000);
  return read().map((after, index) => after - (before[index] ?? 0));
}

async function readStream(
  fleet: Fleet,
  content: string,
  signal: AbortSignal,
  counter: { tokens: number },
): Promise<void> {
  const response = await fleet.chat({ content, isStreamed: true, tokens });
  const reader = response.body?.pipeThrough(new TextDecoderStream()).getReader();
  signal.addEventListener('abort', () => void reader?.cancel());
  for (let part = await reader?.read(); part?.done === false; part = await reader?.read()) {
    counter.tokens += part.value.split('data: ').length - 1;
  }
}

function findLead(fleet: Fleet): Promise<string> {
  return waitFor('a group in the list', async () => {
    const { output } = await fleet.runCommand(['groups', '--json']);
    const view = JSON.parse(output) as { groups: readonly { members: readonly string[] }[] };
    return view.groups[0]?.members[0];
  });
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
