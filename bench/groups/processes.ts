import { GroupDeployment } from '../../__tests__/processes/groups-deployment.js';
import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';

/** Time from the loss of a host until the group is whole again, with real processes: one group of 3 and 2 spares on loopback. */

const hosts = ['bole-1', 'bole-2', 'bole-3', 'bole-4', 'bole-5'];
const rounds = 5;

interface Loss {
  readonly label: string;
  /** Position in the group; 0 leads. */
  readonly member: number;
  readonly lose: (deployment: GroupDeployment, host: string) => void;
}

const losses: readonly Loss[] = [
  { label: 'SIGKILL of a member, sidecar and engine', member: 1, lose: killHost },
  { label: 'SIGKILL of the lead, sidecar and engine', member: 0, lose: killHost },
  {
    label: "SIGKILL of a member's engine",
    member: 1,
    lose: (deployment, host) => {
      deployment.find(host).engine.signal('SIGKILL');
    },
  },
  {
    label: "SIGSTOP of a member's sidecar",
    member: 2,
    lose: (deployment, host) => {
      deployment.find(host).sidecar.signal('SIGSTOP');
    },
  },
  {
    label: "SIGTERM of a member's sidecar, idle group",
    member: 2,
    lose: (deployment, host) => {
      deployment.find(host).sidecar.signal('SIGTERM');
    },
  },
];

export async function measureProcesses(): Promise<string> {
  const rows = [];
  for (const loss of losses) {
    const times: number[] = [];
    for (let round = 0; round < rounds; round += 1) {
      reportProgress(`${loss.label}, ${round + 1} of ${rounds}`);
      times.push(await measureLoss(loss));
    }
    const sorted = times.sort((left, right) => left - right);
    rows.push([
      loss.label,
      ...[sorted[0], sorted[2], sorted[4]].map((time) => formatFigure(time ?? NaN)),
    ]);
  }
  return formatMarkdownTable(
    ['loss (lease 1 s, load 0.2 s, spares not loaded)', 'least, s', 'median, s', 'most, s'],
    rows,
  );
}

async function measureLoss({ member, lose }: Loss): Promise<number> {
  const deployment = await GroupDeployment.start({ hosts, replicaSize: 3 });
  try {
    const before = await deployment.waitForServing('the first group');
    await deployment.waitForAnswer();
    const victim = before.members[member] ?? '';
    const start = performance.now();
    lose(deployment, victim);
    await deployment.waitForServing('another group', (group) => !group.members.includes(victim));
    await deployment.waitForAnswer();
    return (performance.now() - start) / 1000;
  } finally {
    await deployment.stop();
  }
}

function killHost(deployment: GroupDeployment, host: string): void {
  deployment.find(host).sidecar.signal('SIGKILL');
  deployment.find(host).engine.signal('SIGKILL');
}
