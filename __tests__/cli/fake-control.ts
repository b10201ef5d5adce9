import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';

import { Code, ConnectError } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import { runCommandLine, type ExitCode } from '../../src/cli/index.js';
import { resultCodes } from '../../src/common/index.js';
import {
  ControlStateMachine,
  encodeCommandAnswer,
  stampEvacuationOrder,
  type Command,
  type ControlView,
  type EvacuationsView,
  type GroupsView,
  type HostsView,
  type WatchersView,
} from '../../src/control/state/index.js';
import { createQuarantinesView } from '../../src/control/shell/quarantines-view.js';
import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';

/** How a fake control host fails its next submission. */
export type Fault = 'loseAnswer' | 'loseRequest' | 'noQuorum';

/** The replicated state shared by any number of fake control hosts. */
export class FakeReplicatedLog {
  readonly machine = new ControlStateMachine();
  /** Texts of all submissions that arrived, in order. */
  readonly submissions: string[] = [];
  #index = 0;

  apply(text: string): string {
    this.#index += 1;
    // The leader stamps the time; one minute passes between commands.
    const command = JSON.parse(text) as Command;
    const stamp =
      command.type === 'setEvacuation'
        ? { stamp: stampEvacuationOrder(this.machine.read().routing, command) }
        : {};
    const stamped = { ...command, ...stamp, at: Date.UTC(2026, 11, 2, 8, this.#index) };
    return encodeCommandAnswer(this.machine.apply(this.#index, JSON.stringify(stamped)));
  }
}

/** A control host that behaves correctly except for the injected faults. */
export class FakeControl {
  readonly faults: Fault[] = [];
  /** Refuses every read except the view of the host itself. */
  isLeaderless = false;
  readonly #name: string;
  readonly log: FakeReplicatedLog;
  readonly #server: Http2Server;
  readonly #sessions = new Set<ServerHttp2Session>();

  constructor(name: string, log: FakeReplicatedLog) {
    this.#name = name;
    this.log = log;
    this.#server = createServer(
      connectNodeAdapter({
        routes: (router) =>
          router.service(ControlService, {
            submit: ({ command }) => this.#submit(command),
            get: ({ kind }) => this.#get(kind),
          }),
      }),
    );
    this.#server.on('session', (session) => this.#sessions.add(session));
  }

  async open(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#sessions.forEach((session) => {
      session.destroy();
    });
    await closed;
  }

  #submit(command: string): { resultCode?: number; message?: string; answer?: string } {
    const fault = this.faults.shift();
    if (fault === 'noQuorum') {
      return { resultCode: resultCodes.noQuorum.number, message: 'no leader' };
    }
    this.log.submissions.push(command);
    if (fault === 'loseRequest') {
      throw new ConnectError('connection closed', Code.Unavailable);
    }
    const answer = this.log.apply(command);
    if (fault === 'loseAnswer') {
      throw new ConnectError('connection closed', Code.Unavailable);
    }
    return { answer };
  }

  #get(kind: string): { resultCode?: number; message?: string; answer?: string } {
    if (this.isLeaderless && kind !== 'control') {
      return { resultCode: resultCodes.notFresh.number, message: 'no leader' };
    }
    return { answer: JSON.stringify(this.#view(kind)) };
  }

  #view(kind: string): unknown {
    const { revision, configuration, history, index, routing } = this.log.machine.read();
    const views: Readonly<Record<string, unknown>> = {
      configuration: { revision, configuration, history },
      hosts: { revision, hosts } satisfies HostsView,
      groups: { revision, ...groups } satisfies GroupsView,
      watchers: { revision, watchers } satisfies WatchersView,
      evacuations: {
        evacuations: [...routing.evacuations.values()].map((evacuation) => ({
          ...evacuation,
          groups: ['small/3', 'small/9'],
          requests: 4,
          waitsFor: ['groups', 'requests'],
        })),
      } satisfies EvacuationsView,
      quarantines: createQuarantinesView(routing),
      control: {
        name: this.#name,
        role: this.#name === 'control-1' ? 'leader' : 'follower',
        term: 4,
        leader: 'control-1',
        index,
        revision,
        stalenessMilliseconds: 80,
        voters: ['control-1', 'control-2'].map((name) => ({ name, address: 'unused' })),
      } satisfies ControlView,
    };
    return views[kind];
  }
}

const hosts: HostsView['hosts'] = [1, 2, 3].map((number) => ({
  host: `host-${number}`,
  address: `10.0.0.${number}:8601`,
  incarnation: 'one',
  region: 'addis',
  failureDomain: 'bole',
  fabricDomain: 'bole-a',
  accelerators: 8,
  labels: { pool: 'llm' },
  upstream: {
    type: 'engine',
    loaded: [{ model: 'assist', version: '1', adapters: [] }],
    checksFencingNumber: false,
  },
  isHealthy: number !== 2,
  isDraining: false,
  isPresent: number !== 3,
  group: number === 1 ? 'assist-llm/1' : null,
  lastReportMilliseconds: number === 3 ? 95_000 : 200,
}));

const groups: Omit<GroupsView, 'revision'> = {
  groups: [
    {
      name: 'assist-llm/1',
      declaration: 'assist-llm',
      fencingNumber: 12,
      offer: { type: 'model', artifact: { model: 'assist', version: '1', adapters: ['fleet'] } },
      members: ['host-1'],
      isServing: true,
      isDraining: false,
      missing: [],
    },
  ],
  strandedHosts: ['host-4'],
};

const watchers: WatchersView['watchers'] = [
  {
    watcher: 'gateway-1',
    kind: 'gateway',
    revision: 2,
    control: 'control-1',
    address: null,
    lastSeenMilliseconds: 300,
  },
  {
    watcher: 'host-1',
    kind: 'sidecar',
    revision: 1,
    control: null,
    address: null,
    lastSeenMilliseconds: 1500,
  },
];

/** Exit code and output of one run of the command line. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly errors: string;
}

/** Runs the command line against fake control hosts, with the given files and without real delays. */
export async function runCommand(
  controls: readonly FakeControl[],
  argv: readonly string[],
  files: Readonly<Record<string, string>> = {},
): Promise<CommandResult> {
  let output = '';
  let errors = '';
  const flags = controls.flatMap((control) => ['--control', control.address]);
  const exitCode = await runCommandLine([...flags, ...argv], {
    write: (text) => (output += text),
    writeError: (text) => (errors += text),
    readText: (path) => {
      const text = files[path];
      if (text === undefined) {
        throw new Error('no such file');
      }
      return text;
    },
    variables: {},
    user: 'amina',
    wall: () => 0,
    createChangeId: () => `made-${(controls[0]?.log.submissions.length ?? 0) + 1}`,
    sleep: () => Promise.resolve(),
  });
  return { exitCode, output, errors };
}
