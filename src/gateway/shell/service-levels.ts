import type { ConnectRouter } from '@connectrpc/connect';

import { assertNever, resultCodes, type Clock, type ResultCodeName } from '../../common/index.js';
import { GatewayService } from '../../generated/pistachiospoke/v1/control_pb.js';
import type { Configuration } from '../../model/index.js';
import { ServiceLevelRecorder, type ServiceLevelOutcome } from '../../report/index.js';
import type { RequestedOffer } from '../reach.js';
import type { RequestOutcome } from './request-runner.js';

/** Counts request outcomes, for `report burn`. */
export class ServiceLevels {
  readonly #gateway: string;
  readonly #clock: Clock;
  readonly #recorder: ServiceLevelRecorder;
  readonly #readConfiguration: () => Configuration;

  constructor(gateway: string, clock: Clock, readConfiguration: () => Configuration) {
    this.#gateway = gateway;
    this.#clock = clock;
    this.#recorder = new ServiceLevelRecorder(clock.wall());
    this.#readConfiguration = readConfiguration;
  }

  register(router: ConnectRouter): void {
    router.service(GatewayService, {
      counters: () => ({
        gateway: this.#gateway,
        counters: JSON.stringify(this.#recorder.read(this.#clock.wall())),
      }),
    });
  }

  observe(outcome: RequestOutcome): void {
    const level = classifyOutcome(outcome.code);
    const target = findTarget(this.#readConfiguration(), outcome.request.facts.route.wanted);
    if (level === undefined || target === undefined) {
      return;
    }
    this.#recorder.record(target, level, outcome.firstBytes, this.#clock.wall());
  }
}

/** Undefined for outcomes that the caller caused, which say nothing about the service. */
function classifyOutcome(code: ResultCodeName): ServiceLevelOutcome | undefined {
  const { outcome, httpStatus, retryable } = resultCodes[code];
  switch (outcome) {
    case 'ran':
      return code === 'ok' ? 'whole' : undefined;
    case 'notRun':
      return retryable && code !== 'accountLimit' ? 'notRun' : undefined;
    case 'unknown':
      return httpStatus >= 500 ? 'failed' : undefined;
    case 'notApplicable':
      return undefined;
    default:
      return assertNever(outcome);
  }
}

function findTarget(configuration: Configuration, wanted: RequestedOffer): string | undefined {
  if (wanted.type === 'service') {
    return wanted.service;
  }
  return configuration.groups.find(({ carries }) => carries.model === wanted.model)?.name;
}
