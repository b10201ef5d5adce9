import { initialControlCount, type PlatformDeployment } from '../deployment.js';
import { ProcessLives } from './process-lives.js';
import { SoakProcess } from './soak-process.js';

/** The processes of a deployment by their kinds, for a soak that stops them. */

export type ProcessKind = 'gateway' | 'control' | 'sidecar';

interface ProcessesOfKind {
  readonly lives: ProcessLives;
  readonly processes: readonly SoakProcess[];
}

export type SoakProcesses = Readonly<Record<ProcessKind, ProcessesOfKind>>;

export interface SoakProcessesOptions {
  readonly deployment: PlatformDeployment;
  readonly gatewayCount: number;
  readonly note: (text: string) => void;
}

export function createSoakProcesses(options: SoakProcessesOptions): SoakProcesses {
  const { deployment, gatewayCount, note } = options;
  const createKind = (
    kind: ProcessKind,
    count: number,
    readProgram: (index: number) => ReturnType<PlatformDeployment['gatewayProgram']>,
    start: (index: number) => void,
  ): ProcessesOfKind => {
    const lives = new ProcessLives(count);
    const processes = Array.from({ length: count }, (_, index) => {
      return new SoakProcess({
        label: `${kind} ${index}`,
        index,
        lives,
        readProgram: () => readProgram(index),
        start: () => {
          start(index);
        },
        note,
      });
    });
    return { lives, processes };
  };
  return {
    gateway: createKind(
      'gateway',
      gatewayCount,
      (index) => deployment.gatewayProgram(index),
      (index) => {
        deployment.restartGateway(index);
      },
    ),
    control: createKind(
      'control',
      initialControlCount,
      (index) => deployment.controlProgram(index),
      (index) => {
        deployment.restartControl(index);
      },
    ),
    sidecar: createKind(
      'sidecar',
      deployment.engines.length,
      (index) => deployment.sidecarProgram(index),
      (index) => {
        deployment.startSidecar(index);
      },
    ),
  };
}

/** The processes that are not running, though none was left stopped. */
export function listEnded(processes: SoakProcesses): readonly string[] {
  return Object.values(processes)
    .flatMap((each) => each.processes)
    .filter(({ isRunning }) => !isRunning)
    .map(({ label }) => `${label} ended by itself`);
}
