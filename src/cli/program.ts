import { Command, CommanderError, InvalidArgumentError, Option } from 'commander';

import { runApply } from './commands/apply.js';
import { checkKinds, runCheck, type CheckKind } from './commands/check.js';
import { runDrain } from './commands/drain.js';
import { runEvacuate, runEvacuations } from './commands/evacuate.js';
import { runQuarantines, runRelease } from './commands/quarantines.js';
import { runGet, type GetFlags } from './commands/get.js';
import { runGroups } from './commands/groups.js';
import { runHosts } from './commands/hosts.js';
import { runLabel } from './commands/label.js';
import { RpcClientPool } from '../wire/index.js';
import { runTrace } from './commands/trace.js';
import { runReportBurn, type BurnFlags } from './commands/report-burn.js';
import type { CommandContext, ControlContext } from './context.js';
import { ControlClient } from './control-client.js';
import type { CommandLineEnvironment } from './environment.js';
import { exitCodes, type ExitCode } from './exit-codes.js';
import { resolveConnection, type GlobalFlags } from './operator-settings.js';
import { Output } from './output.js';
import type { HostChangeFlags } from './submit-host-change.js';
import type { ChangeFlags } from './submit-change.js';

/** Flags, arguments and help of the operators' command line. */

const defaultTimeoutMilliseconds = 8000;

/** Runs one command and returns its exit code. */
export async function runCommandLine(
  argv: readonly string[],
  environment: CommandLineEnvironment,
): Promise<ExitCode> {
  const runner = new CommandLine(environment);
  return runner.run(argv);
}

class CommandLine {
  readonly #environment: CommandLineEnvironment;
  readonly #program: Command;
  #exitCode: ExitCode = exitCodes.ok;

  constructor(environment: CommandLineEnvironment) {
    this.#environment = environment;
    this.#program = this.#createProgram();
    this.#addReads();
    this.#addChanges();
    this.#addEvacuations();
    this.#addQuarantines();
    this.#addReports();
    this.#addTrace();
    this.#addCheck();
  }

  async run(argv: readonly string[]): Promise<ExitCode> {
    try {
      await this.#program.parseAsync(argv, { from: 'user' });
    } catch (error) {
      if (error instanceof CommanderError) {
        return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
      }
      throw error;
    }
    return this.#exitCode;
  }

  #createProgram(): Command {
    const { write, writeError } = this.#environment;
    return new Command('pistachiospoke')
      .description('Shows and changes what is in force in a deployment of pistachiospoke.')
      .option('--control <ip:port>', 'control host to ask (repeatable)', collectText)
      .option('--settings <file>', 'settings of this command line, JSON with comments')
      .option('--operator <name>', 'name shown to other operators')
      .option('--timeout <milliseconds>', 'for one call', parseNumber, defaultTimeoutMilliseconds)
      .option('--json', 'results as JSON', false)
      .configureHelp({ showGlobalOptions: true })
      .configureOutput({ writeOut: write, writeErr: writeError })
      .exitOverride()
      .addHelpText('after', generalHelp);
  }

  #addReads(): void {
    this.#command('get', 'show the configuration in force')
      .option('--in-force', 'show which gateway and sidecar has which revision', false)
      .option('--history', 'show the accepted changes', false)
      .addHelpText('after', '\nExample:\n  pistachiospoke get > now.jsonc')
      .action((flags: GetFlags) => this.#withControl((context) => runGet(context, flags)));
    this.#command('hosts', 'list the hosts that have announced themselves').action(() =>
      this.#withControl(runHosts),
    );
    this.#command('groups', 'list the placed groups and the hosts that are in none').action(() =>
      this.#withControl(runGroups),
    );
    this.#command(
      'evacuations',
      'list the evacuated failure domains and what is left there',
    ).action(() => this.#withControl(runEvacuations));
  }

  #addReports(): void {
    this.#command('report', 'reports over the deployment')
      .command('burn')
      .description('show how fast the service-level objectives are being spent')
      .option('--gateway <ip:port>', 'internal address of a gateway (repeatable)', collectText)
      .option('--html <file>', 'write the report as a page too')
      .addHelpText('after', '\nExample:\n  pistachiospoke report burn --gateway 127.0.0.1:8410')
      .action((flags: BurnFlags) => this.#withControl((context) => runReportBurn(context, flags)));
  }

  #addChanges(): void {
    this.#change('apply', 'make a configuration document the one in force')
      .argument('<file>', 'configuration, JSON with comments')
      .addHelpText('after', '\nExample:\n  pistachiospoke apply configuration.jsonc')
      .action((file: string, flags: ChangeFlags) =>
        this.#withControl((context) => runApply(context, file, flags)),
      );
    this.#change('label', 'set (key=value) or take away (key-) labels of a host')
      .argument('<host>')
      .argument('<labels...>')
      .option('--unannounced', 'also when no host of this name has announced itself', false)
      .addHelpText('after', '\nExample:\n  pistachiospoke label host-7 pool=spare rack-')
      .action((host: string, labels: readonly string[], flags: HostChangeFlags) =>
        this.#withControl((context) => runLabel(context, host, labels, flags)),
      );
    this.#change('drain', 'take a host out of work after what is in flight there')
      .argument('<host>')
      .option('--undo', 'let the host serve again', false)
      .option('--unannounced', 'also when no host of this name has announced itself', false)
      .addHelpText('after', '\nExample:\n  pistachiospoke drain host-7')
      .action((host: string, flags: HostChangeFlags & { readonly undo: boolean }) =>
        this.#withControl((context) => runDrain(context, host, !flags.undo, flags)),
      );
  }

  #addEvacuations(): void {
    this.#command('evacuate', 'send nothing more to the upstreams of a failure domain')
      .argument('<domain>')
      .option('--end', 'let the domain serve again', false)
      .addHelpText('after', '\nExample:\n  pistachiospoke evacuate bole')
      .action((domain: string, { end }: { readonly end: boolean }) =>
        this.#withControl((context) => runEvacuate(context, domain, end ? 'end' : 'start')),
      );
  }

  #addQuarantines(): void {
    this.#command(
      'quarantines',
      'list the requests and prompt segments that are not sent because upstreams crashed',
    ).action(() => this.#withControl(runQuarantines));
    this.#command('release', 'end the quarantine of a request or a prompt segment')
      .argument('<subject>', 'as listed by quarantines')
      .addHelpText('after', '\nExample:\n  pistachiospoke release segment/assist-llm/91bd3f06')
      .action((subject: string) => this.#withControl((context) => runRelease(context, subject)));
  }

  #addTrace(): void {
    this.#command('trace', 'show what log files say of one request and of its targets')
      .argument('<request>', 'id of the request')
      .argument('<files...>', 'logs of any processes, one JSON object a line')
      .addHelpText('after', '\nExample:\n  pistachiospoke trace 5daa14d2797ace4f logs/*.log')
      .action((requestId: string, files: readonly string[]) => {
        this.#exitCode = runTrace(this.#createContext(), requestId, files);
      });
  }

  #addCheck(): void {
    const kind = new Option('--as <kind>', 'what the file is')
      .choices(checkKinds)
      .default('configuration');
    this.#command('check', 'check a file without talking to any host')
      .argument('<file>', 'configuration or settings, JSON with comments')
      .addOption(kind)
      .addHelpText('after', '\nExample:\n  pistachiospoke check --as gateway gateway.jsonc')
      .action((file: string, flags: { readonly as: CheckKind }) => {
        this.#exitCode = runCheck(this.#createContext(), file, flags.as);
      });
  }

  #command(name: string, description: string): Command {
    return this.#program.command(name).description(description);
  }

  #change(name: string, description: string): Command {
    return this.#command(name, description)
      .option('--change-id <id>', 'id of the change; give that of a lost change to resend it')
      .option('--base <revision>', 'revision the change was made from', parseNumber);
  }

  #createContext(): CommandContext {
    const { json } = this.#program.opts<GlobalFlags>();
    return { environment: this.#environment, output: new Output(this.#environment, json) };
  }

  async #withControl(command: (context: ControlContext) => Promise<ExitCode>): Promise<void> {
    const flags = this.#program.opts<GlobalFlags>();
    const context = this.#createContext();
    const connection = resolveConnection(flags, this.#environment);
    if (connection.err) {
      this.#exitCode = context.output.fail(exitCodes.usage, connection.val);
      return;
    }
    const clients = new RpcClientPool();
    const client = new ControlClient({
      addresses: connection.val.control,
      clients,
      timeout: flags.timeout,
      sleep: this.#environment.sleep,
    });
    try {
      this.#exitCode = await command({ ...context, client, clients, connection: connection.val });
    } finally {
      clients.close();
    }
  }
}

const generalHelp = `
Control hosts are taken from --control, else from the variable PISTACHIOSPOKE_CONTROL
(ip:port,ip:port), else from --settings or the file that PISTACHIOSPOKE_SETTINGS names.

Exit codes: 0 done, 1 refused, 2 wrong flags, 3 file does not pass its checks, 4 conflict
with another change, 5 control unavailable or answer lost (resend with the same --change-id
and --base), 6 no such host or failure domain.

Examples:
  pistachiospoke --control 127.0.0.1:8501 groups
  pistachiospoke --control 127.0.0.1:8501 apply configuration.jsonc
  pistachiospoke --control 127.0.0.1:8501 --json get --in-force`;

function collectText(text: string, previous: readonly string[] = []): readonly string[] {
  return [...previous, text];
}

function parseNumber(text: string): number {
  if (!/^\d+$/.test(text)) {
    throw new InvalidArgumentError('expected a whole number');
  }
  return Number(text);
}
