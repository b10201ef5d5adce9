/**
 * What the decisions on requests are worth and what they cost: overload and broken upstreams on virtual time against the
 * naive version in the same run; time to notice a silent connection over real sockets; cost of a step; memory.
 */
import { Command } from 'commander';

import { measureCores, measureMemory } from './requests/measure-cores.js';
import { measureOverload } from './requests/measure-overload.js';
import { measureSilence } from './requests/measure-silence.js';
import { measureTokens } from './requests/measure-tokens.js';
import { measureUpstreams } from './requests/measure-upstreams.js';

interface CommandLine {
  readonly part?: string;
  readonly seconds: number;
  readonly rounds: number;
}

interface Part {
  readonly name: string;
  readonly measure: (options: CommandLine) => string | Promise<string>;
}

const parts: readonly Part[] = [
  { name: 'overload', measure: ({ seconds }) => measureOverload(seconds) },
  { name: 'upstreams', measure: ({ seconds }) => measureUpstreams(seconds) },
  { name: 'silence', measure: ({ rounds }) => measureSilence(rounds) },
  { name: 'cores', measure: () => measureCores() },
  { name: 'tokens', measure: () => measureTokens() },
  { name: 'memory', measure: () => measureMemory() },
];

const options = new Command('requests')
  .option('--part <name>', `one of ${parts.map(({ name }) => name).join(', ')}; all by default`)
  .option('--seconds <count>', 'virtual seconds for each row', Number, 60)
  .option('--rounds <count>', 'connections that go silent', Number, 20)
  .parse()
  .opts<CommandLine>();

for (const part of parts) {
  if (options.part === undefined || options.part === part.name) {
    console.log(`### ${part.name}\n\n${await part.measure(options)}\n`);
  }
}
process.exit();
