import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../src/common/index.js';
import type { CallResult, PlatformDeployment } from './deployment.js';
import { listCrashTimes } from './received-requests.js';

/** Requests whose prompts share segments, of which some crash the engine that begins to answer them. */

/** Segment that all prompts begin with, as the instructions of a product do. */
const commonSegment = 'c0ffee';
const tokensPerSegment = 40;
const soundPrefix = 'sound';
const crashingPrefix = 'crashing';

export interface SegmentLoadOptions {
  readonly deployment: PlatformDeployment;
  readonly random: RandomSource;
  /** Gateways that get the requests, by index. */
  readonly gateways: readonly number[];
  /** Segments that crash engines; the deployment's engines are told by `start`. */
  readonly crashingSegments: readonly string[];
}

/** The answer to a sound request, with the time at which it was sent. */
export interface SoundOutcome {
  readonly at: number;
  readonly result: CallResult;
}

/** Every request has a body and a last segment of its own; sound and crashing ones share the caller and the other segments. */
export class SegmentLoad {
  readonly #options: SegmentLoadOptions;
  #count = 0;

  constructor(options: SegmentLoadOptions) {
    this.#options = options;
    for (const engine of options.deployment.engines) {
      options.crashingSegments.forEach((segment) => engine.crashingSegments.add(segment));
    }
  }

  /** Sends sound and crashing requests at the given mean rates (requests a second); resolves once all have been answered. */
  async run(
    duration: number,
    rates: { readonly sound: number; readonly crashing: number },
  ): Promise<readonly SoundOutcome[]> {
    const { random } = this.#options;
    const end = performance.now() + duration;
    const sound: Promise<SoundOutcome>[] = [];
    const crashing: Promise<CallResult>[] = [];
    while (performance.now() < end) {
      await pause(1000 / (rates.sound + rates.crashing));
      if (random.fraction() < rates.sound / (rates.sound + rates.crashing)) {
        const at = performance.now();
        sound.push(this.sendSound().then((result) => ({ at, result })));
      } else {
        crashing.push(this.sendCrashing());
      }
    }
    await Promise.all(crashing);
    return Promise.all(sound);
  }

  /** Sends through the given gateway, or through a random one. */
  sendSound(gateway?: number): Promise<CallResult> {
    return this.#send(soundPrefix, [], gateway);
  }

  /** No segment crashes engines any more. */
  cure(): void {
    this.#options.deployment.engines.forEach(({ crashingSegments }) => {
      crashingSegments.clear();
    });
  }

  sendCrashing(): Promise<CallResult> {
    const { crashingSegments, random } = this.#options;
    return this.#send(crashingPrefix, [
      crashingSegments[random.integerBelow(crashingSegments.length)] ?? '',
    ]);
  }

  /** Times at which requests with a crashing segment crashed an engine's start. */
  listCrashTimes(): readonly number[] {
    return listCrashTimes(this.#options.deployment.engines);
  }

  /** Number of requests with a crashing segment that reached an engine later than `time`. */
  countCrashingAfter(time: number): number {
    return this.#options.deployment.engines
      .flatMap(({ received }) => received)
      .filter(({ id, at }) => id.startsWith(crashingPrefix) && at > time).length;
  }

  #send(prefix: string, segments: readonly string[], chosenGateway?: number): Promise<CallResult> {
    const { deployment, random, gateways } = this.#options;
    this.#count += 1;
    const id = `${prefix}-${this.#count}`;
    const gateway = chosenGateway ?? gateways[random.integerBelow(gateways.length)] ?? 0;
    const documentSegment = `d${random.integerBelow(3)}`;
    const listed = [commonSegment, documentSegment, ...segments, id].map(
      (segment) => `${segment}:${tokensPerSegment}`,
    );
    const headers = { 'x-prefix-hash': listed.join(',') };
    return deployment.stream(id, { gateway, body: JSON.stringify({ ask: id }), headers });
  }
}
