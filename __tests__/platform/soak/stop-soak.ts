import { createRandomSource } from '../../../src/common/index.js';
import { waitFor } from '../../support/index.js';
import { PlatformDeployment } from '../deployment.js';
import { PlainService } from '../plain-service.js';
import { timeLimit } from './request-plan.js';
import { saveOutputs } from './save-outputs.js';
import { createSoakProcesses, listEnded, type SoakProcesses } from './soak-processes.js';
import { initialGroups, type SoakSettings } from './soak-settings.js';
import { StopCallers, type StopCallersOptions } from './stop-callers.js';
import { StopFaults } from './stop-faults.js';
import { stopGrace } from './stop-verdict.js';

/** A deployment with a plain service, its callers, and faults that stop its processes while these callers send requests. */

const upstreamCount = 3;
/** Distinguishes the random numbers of callers, whose order depends on time, from those of faults. */
const callerSeedOffset = 1_000_000;

export interface StopSoakOptions {
  readonly settings: SoakSettings;
  readonly seed: number;
  /** Name of the folder in which the outputs of a failed soak are kept. */
  readonly label: string;
}

/** Draws requests of callers. */
type DrawPlan = StopCallersOptions['drawPlan'];

/** What runs from the first request on. */
export interface StopSoakLoad {
  readonly processes: SoakProcesses;
  readonly callers: StopCallers;
  readonly faults: StopFaults;
}

export class StopSoak {
  readonly deployment: PlatformDeployment;
  readonly service: PlainService;
  readonly #options: StopSoakOptions;
  readonly #log: string[] = [];
  readonly #startedAt = performance.now();

  private constructor(
    options: StopSoakOptions,
    deployment: PlatformDeployment,
    service: PlainService,
  ) {
    this.#options = options;
    this.deployment = deployment;
    this.service = service;
  }

  /** Starts the deployment; `waitUntilServing` has to follow. */
  static async start(options: StopSoakOptions): Promise<StopSoak> {
    const { engineCount, gatewayCount } = options.settings;
    const deployment = await PlatformDeployment.start(engineCount, gatewayCount, stopGrace);
    return new StopSoak(
      options,
      deployment,
      new PlainService(deployment, upstreamCount, timeLimit),
    );
  }

  async waitUntilServing(): Promise<void> {
    await this.service.open(this.#options.settings.gatewayCount);
    await waitFor('open groups', () => this.deployment.findHeads().length >= initialGroups);
  }

  /** Starts the callers, and prepares the faults. */
  startLoad(drawPlan?: DrawPlan): StopSoakLoad {
    const { deployment, service } = this;
    const { seed, settings } = this.#options;
    const { gatewayCount, callerCount } = settings;
    const note = (text: string): void => {
      this.note(text);
    };
    const processes = createSoakProcesses({ deployment, gatewayCount, note });
    const callers = new StopCallers({
      deployment,
      lives: processes.gateway.lives,
      random: createRandomSource(seed + callerSeedOffset),
      callerCount,
      ...(drawPlan === undefined ? {} : { drawPlan }),
    });
    const faults = new StopFaults({
      processes,
      engines: deployment.engines,
      service,
      random: createRandomSource(seed),
      grace: stopGrace,
      note,
    });
    return { processes, callers, faults };
  }

  /** Adds a line with its time to what a failed soak tells. */
  note(text: string): void {
    this.#log.push(`${Math.round(performance.now() - this.#startedAt)} ms: ${text}`);
  }

  /** Stops all gateways while the callers go on, then the callers; returns the processes that had ended by themselves before. */
  async stopLoad({ processes, callers, faults }: StopSoakLoad): Promise<readonly string[]> {
    const ended = listEnded(processes);
    await faults.stopAllGateways();
    await callers.stop();
    return ended;
  }

  /** Prints the counts, and keeps the outputs if something was found; returns what explains the findings. */
  async report(counts: object, found: readonly string[]): Promise<string> {
    const { seed, label } = this.#options;
    console.log(JSON.stringify({ seed, ...counts }));
    const history = [JSON.stringify(counts), ...this.#log];
    if (found.length > 0) {
      const summary = [...history, ...found].join('\n');
      await saveOutputs(`${label}-${seed}`, this.deployment.group.programs, summary);
    }
    return history.join('\n');
  }

  async close(): Promise<void> {
    await this.service.close();
    await this.deployment.stop();
  }
}
