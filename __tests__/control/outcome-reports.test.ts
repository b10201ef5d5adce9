import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Ok } from 'ts-results';
import { afterEach, describe, expect, it, vi } from 'vitest';

import type { ReplicatedLog } from '../../src/consensus/index.js';
import { RoutingControl } from '../../src/control/routing/index.js';
import { CommandSubmitter } from '../../src/control/shell/command-submitter.js';
import { ControlStateMachine, type CommandAnswer } from '../../src/control/state/index.js';
import {
  DemandReportSchema,
  type DemandReport,
} from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { createDocument } from '../routing/documents.js';
import { createForwardedCalls } from './forwarded-calls.js';

type HandleReport = (report: DemandReport) => unknown;

/** A control host that leads alone, with a clock that the test sets. */
class LoneLeader {
  now = 0;
  readonly registry = new Registry();
  readonly #machine = new ControlStateMachine();
  readonly #routing: RoutingControl;
  #handleReport: HandleReport = () => undefined;

  constructor(weighsLosses: boolean) {
    const log: ReplicatedLog<CommandAnswer> = {
      view: () => ({ type: 'leader', term: 1 }),
      staleness: () => 0,
      confirmRead: () => Promise.resolve(new Ok(0)),
      appliedIndex: () => 0,
      propose: (command) => Promise.resolve(new Ok(this.#machine.apply(1, command))),
    };
    const clock = { monotonic: () => this.now, wall: () => this.now };
    const shared = {
      log,
      clients: new RpcClientPool(),
      clock,
      findAddress: () => undefined,
      forwarded: createForwardedCalls(),
    };
    this.#routing = new RoutingControl({
      ...shared,
      submitter: new CommandSubmitter(shared),
      logger: pino({ level: 'silent' }),
      name: 'alone',
      listVoters: () => [],
      readState: () => this.#machine.read(),
      instanceSilence: 1000,
      weighsLosses,
      failureDomains: undefined,
      registry: this.registry,
    });
    const service = (
      _: unknown,
      { reportDemand }: { readonly reportDemand: HandleReport },
    ): void => {
      this.#handleReport = reportDemand;
    };
    this.#routing.register({ service } as unknown as ConnectRouter);
  }

  /** Reports as a gateway at two moments between which all gateways have had time to report. */
  async play(): Promise<string> {
    await this.#routing.put(createDocument());
    this.#routing.open();
    for (const at of [0, 2000]) {
      this.now = at;
      const outcomes = { small: { inTime: 3, late: 2, refused: 1, priority: 0 } };
      const report = { gateway: 'one', failureDomain: 'a', requests: { small: 5 }, outcomes };
      this.#handleReport(create(DemandReportSchema, report));
      this.#routing.handleStateChange(this.#machine.read());
      await vi.advanceTimersByTimeAsync(1);
    }
    this.#routing.close();
    return this.registry.metrics();
  }
}

describe('outcomes that gateways report', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a switch that turns on nothing: reports that arrive at the leader but not in the input of its decisions.
  it('are an input of decisions where planning weighs losses', async () => {
    vi.useFakeTimers();
    const page = await new LoneLeader(true).play();
    expect(page).toContain('pistachiospoke_model_outcomes{model="small",result="late"} 4');
  });

  // Guards against a deployment whose planning changes although its settings do not ask for it.
  it('are no input of decisions elsewhere', async () => {
    vi.useFakeTimers();
    const page = await new LoneLeader(false).play();
    expect(page).toContain('pistachiospoke_demand_requests{model="small"} 5');
    expect(page).not.toContain('pistachiospoke_model_outcomes{');
  });
});
