import { Command } from 'commander';

import { StandInEngine, StandInService } from '../stand-in/index.js';

/** Simulated upstreams for `npm start`, tests and benches; not for production. */

const program = new Command('pistachiospoke-stand-in').description(
  'Stand-in upstreams for trials on one machine',
);

program
  .command('engine')
  .requiredOption('--listen <address>', 'ip:port for requests and orders')
  .requiredOption('--sidecar <address>', 'ip:port where the sidecar takes announcements')
  .option('--checks-fencing-number', 'refuse orders with an old fencing number', false)
  .option('--capacity <count>', 'requests at a time', Number, 64)
  .option('--token-milliseconds <duration>', 'time between tokens', Number, 10)
  .option('--load-milliseconds <duration>', 'time to load weights', Number, 200)
  .option('--crash-on <text>', 'end when the answer to a message with this text begins')
  .action((options: ConstructorParameters<typeof StandInEngine>[0]) =>
    run(new StandInEngine(options)),
  );

program
  .command('service')
  .requiredOption('--listen <address>', 'ip:port for requests')
  .requiredOption('--sidecar <address>', 'ip:port where the sidecar takes announcements')
  .requiredOption('--service <name>', 'name of the plain service')
  .option('--capacity <count>', 'requests at a time', Number, 16)
  .option('--answer-milliseconds <duration>', 'time to answer', Number, 5)
  .action((options: ConstructorParameters<typeof StandInService>[0]) =>
    run(new StandInService(options)),
  );

await program.parseAsync();

async function run(standIn: StandInEngine | StandInService): Promise<void> {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => void standIn.close());
  }
  await standIn.open();
}
