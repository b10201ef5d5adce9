import type { ControlClient } from './control-client.js';
import type { CommandLineEnvironment } from './environment.js';
import type { RpcClientPool } from '../wire/index.js';
import type { OperatorConnection } from './operator-settings.js';
import type { Output } from './output.js';

/** What every command receives. */
export interface CommandContext {
  readonly environment: CommandLineEnvironment;
  readonly output: Output;
}

/** What a command that calls control receives. */
export interface ControlContext extends CommandContext {
  readonly client: ControlClient;
  readonly clients: RpcClientPool;
  readonly connection: OperatorConnection;
}
