import type { ControlClient } from './control-client.js';
import type { CommandLineEnvironment } from './environment.js';
import type { RpcClientPool } from '../wire/index.js';
import type { OperatorConnection } from './operator-settings.js';
import type { Output } from './output.js';

/** What a command of the command line works with. */
export interface CommandContext {
  readonly environment: CommandLineEnvironment;
  readonly output: Output;
}

/** What a command that talks to control works with. */
export interface ControlContext extends CommandContext {
  readonly client: ControlClient;
  readonly clients: RpcClientPool;
  readonly connection: OperatorConnection;
}
