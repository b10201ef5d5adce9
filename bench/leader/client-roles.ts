/** Sidecars with engines beside them, and gateways, as the leader of control knows them: many in one process. */
import {
  createEntropySource,
  createIdentifier,
  createLogger,
  systemClock,
} from '../../src/common/index.js';
import { RoutingService } from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { DemandReporter } from '../../src/gateway/direct/demand-reporter.js';
import type { EngineFacts, EngineGroup, EngineMembership } from '../../src/routing/index.js';
import { EngineReporter } from '../../src/sidecar/engine/engine-reporter.js';
import { RoutingWatcher, type RoutingView } from '../../src/watch/index.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { announceReady } from '../support/index.js';

const domainSize = 19;
const joinMilliseconds = 50;
const openMilliseconds = 300;
const loadMilliseconds = 1000;
/** Between two announcements of an instance. */
const announceMilliseconds = 1200;
const announceTimeout = 1500;
/** An engine is asked this often, and its load differs each time. */
const questionMilliseconds = 100;
/** Requests at one moment that a gateway tells the leader of, by model. */
const demand = new Map([
  ['large', 2],
  ['small', 4],
]);
const shared = {
  clock: systemClock,
  logger: createLogger('bench', 'error'),
  random: createEntropySource(),
};

/** An engine that does what the sidecar beside it is told, after the time that this takes. */
class FakeEngine {
  readonly #host: string;
  readonly #facts: Omit<EngineFacts, 'reading'>;
  readonly #domain: string;
  #group: EngineGroup | undefined;
  #membership: EngineMembership | undefined;
  #lastModel: string | undefined;
  #running = 0;
  #staged: readonly string[] = [];

  constructor(index: number) {
    this.#host = `side-${index}`;
    this.#domain = `d${Math.floor(index / domainSize)}`;
    this.#facts = { failureDomain: 'z', address: `10.0.0.1:${index}`, service: 'engines' };
  }

  get host(): string {
    return this.#host;
  }

  describe(): EngineFacts {
    return {
      ...this.#facts,
      reading: {
        instance: { id: `i-${this.#host}` },
        fabricDomain: this.#domain,
        staged: this.#staged,
        ...(this.#membership === undefined ? {} : { membership: this.#membership }),
        isBusy: false,
        running: this.#running,
        waiting: 0,
        slowdown: 1,
      },
      ...(this.#lastModel === undefined ? {} : { lastModel: this.#lastModel }),
    };
  }

  /** Calls back once it has done what the group needs of it. */
  assign(group: EngineGroup | undefined, onChange: () => void): void {
    const before = this.#group;
    this.#group = group;
    if (before?.name === group?.name && before?.phase === group?.phase) {
      return;
    }
    const step = this.#findStep(group);
    if (step === undefined) {
      return;
    }
    setTimeout(() => {
      this.#membership = step.membership;
      this.#lastModel = group?.model;
      onChange();
    }, step.duration);
  }

  /** Calls back once the weights of the model are on the host. */
  stage(model: string | undefined, onChange: () => void): void {
    if (model === undefined || this.#staged.includes(model)) {
      return;
    }
    setTimeout(() => {
      this.#staged = [model];
      onChange();
    }, loadMilliseconds);
  }

  work(): void {
    this.#running = (this.#running + 1) % domainSize;
  }

  #findStep(
    group: EngineGroup | undefined,
  ): { readonly duration: number; readonly membership: EngineMembership | undefined } | undefined {
    if (group === undefined) {
      return undefined;
    }
    const { name, fencingNumber, phase, members } = group;
    const isHead = members[0]?.host === this.#host;
    const membership = { group: name, fencingNumber };
    switch (phase) {
      case 'joining':
        return { duration: joinMilliseconds, membership: { ...membership, state: 'ready' } };
      case 'opening':
        return isHead
          ? { duration: openMilliseconds, membership: { ...membership, state: 'open' } }
          : undefined;
      case 'open':
      case 'draining':
        return undefined;
      case 'closing':
        return { duration: joinMilliseconds, membership: undefined };
    }
  }
}

/** Sidecars from the number `first` on that report and watch, and announcements of their engines by way of another control host. */
export function runSidecarsRole(address: string, count: number, first: number): void {
  const forwarder = new RpcClientPool();
  for (let index = first; index < first + count; index += 1) {
    startSidecar(new FakeEngine(index), address);
    startAnnouncing(forwarder, address, index);
  }
  announceReady('reporting');
}

function startSidecar(engine: FakeEngine, address: string): void {
  const { host } = engine;
  const clients = new RpcClientPool();
  const watcher = new RoutingWatcher({
    ...shared,
    clients,
    watcher: host,
    kind: 'sidecar',
    control: [address],
  });
  const reporter = new EngineReporter({
    ...shared,
    clients,
    host,
    incarnation: createIdentifier(),
    findLeader: () => watcher.read().leader,
    readFacts: () => engine.describe(),
    isDraining: () => false,
    onStagingModel: (model) => {
      engine.stage(model, () => {
        reporter.notify();
      });
    },
  });
  watcher.subscribe((view) => {
    engine.assign(findGroup(view, host), () => {
      reporter.notify();
    });
    reporter.followLeader();
  });
  watcher.open();
  reporter.open();
  setInterval(() => {
    engine.work();
    reporter.notify();
  }, questionMilliseconds);
}

function findGroup({ engineGroups }: RoutingView, host: string): EngineGroup | undefined {
  return [...engineGroups.values()].find(({ members }) =>
    members.some((member) => member.host === host),
  );
}

function startAnnouncing(clients: RpcClientPool, address: string, index: number): void {
  let sequence = 0;
  const announce = async (): Promise<void> => {
    sequence += 1;
    const instance = {
      id: `i-side-${index}`,
      service: 'engines',
      address: `10.0.0.1:${index}`,
      failureDomain: 'z',
      isDraining: false,
    };
    const announcement = JSON.stringify({ type: 'present', instance, sequence });
    try {
      const client = clients.client(RoutingService, address);
      await client.announce({ announcement }, { timeoutMs: announceTimeout });
    } catch {
      // The next one says the same.
    }
  };
  void announce();
  setInterval(() => void announce(), announceMilliseconds);
}

/** Gateways that watch and report demand; answers how many groups each of them knows to be open, the fewest first. */
export function runGatewaysRole(address: string, count: number): void {
  const watchers = Array.from({ length: count }, (_, index) => startGateway(address, index));
  announceReady('watching', () => {
    const open = watchers.map((watcher) => {
      const groups = [...watcher.read().engineGroups.values()];
      return groups.filter(({ phase }) => phase === 'open').length;
    });
    return String(Math.min(...open));
  });
}

function startGateway(address: string, index: number): RoutingWatcher {
  const clients = new RpcClientPool();
  const name = `gateway-${index}`;
  const watcher = new RoutingWatcher({
    ...shared,
    clients,
    watcher: name,
    kind: 'gateway',
    control: [address],
  });
  const reporter = new DemandReporter({
    ...shared,
    clients,
    gateway: name,
    failureDomain: 'a',
    findLeader: () => watcher.read().leader,
    measure: () => demand,
    takeOutcomes: () => new Map(),
    onPosition: () => undefined,
    takeAccountWork: () => new Map(),
    onAccountShares: () => undefined,
    takePermitReport: () => ({
      limits: [],
      wanted: new Map(),
      returned: new Map(),
      cold: undefined,
      reportedAt: 0,
    }),
    onPermits: () => undefined,
  });
  watcher.open();
  reporter.open();
  return watcher;
}
