import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Err, Ok, type Result } from 'ts-results';
import { describe, expect, it } from 'vitest';

import {
  createFailure,
  createRandomSource,
  type Failure,
  type RandomSource,
} from '../../src/common/index.js';
import { EvacuationControl } from '../../src/control/routing/index.js';
import {
  applyCommand,
  decodeCommandAnswer,
  encodeCommandAnswer,
  initialControlState,
  turnInterval,
  type Command,
  type CommandAnswer,
  type ControlState,
  type EvacuationAction,
} from '../../src/control/state/index.js';

type SubmitResult = Result<CommandAnswer, Failure>;

/** A log that commits each command at once, and control hosts that each have applied a part of it. */
class SimulatedLog {
  now = 1_000_000;
  readonly states: ControlState[] = [initialControlState];

  get newest(): ControlState {
    return this.states.at(-1) ?? initialControlState;
  }

  get isEvacuated(): boolean {
    return this.newest.routing.evacuations.has('a');
  }

  /** Whether the last order was committed so recently that late copies of the one before it are refused. */
  get recognizesCopies(): boolean {
    const changedAt = this.newest.routing.evacuationHistory.get('a')?.changedAt ?? 0;
    return this.now - changedAt < turnInterval;
  }

  commit(command: Command): SubmitResult {
    const { state, answer } = applyCommand(this.newest, { ...command, at: this.now });
    this.states.push(state);
    // As between control hosts, the answer is sent as text.
    const decoded = decodeCommandAnswer(encodeCommandAnswer(answer));
    return decoded === undefined ? new Err(createFailure('internal', '')) : new Ok(decoded);
  }
}

/** How a command reaches the leader: with its answer, without, later, or not at all. */
type Forwarding = 'answered' | 'answerLost' | 'held' | 'noLeader';

class Host {
  /** Commands that this host has received but not yet forwarded. */
  readonly held: Command[] = [];
  forwarding: Forwarding = 'answered';
  /** Commands that this host has not applied yet. */
  lag = 0;
  readonly control: EvacuationControl;
  readonly #log: SimulatedLog;

  constructor(log: SimulatedLog, failureDomains: readonly string[] | undefined = ['a', 'b']) {
    this.#log = log;
    this.control = new EvacuationControl({
      submitter: { submit: (command) => Promise.resolve(this.#submit(command)) },
      readState: () => log.states.at(-1 - this.lag) ?? initialControlState,
      clock: { monotonic: () => log.now, wall: () => log.now },
      logger: pino({ level: 'silent' }),
      registry: new Registry(),
      failureDomains,
    });
  }

  /** Returns `ok` or the name of a result code. */
  async order(action: EvacuationAction, failureDomain = 'a'): Promise<string> {
    const result = await this.control.set(failureDomain, action);
    return result.ok ? 'ok' : result.val.code;
  }

  releaseHeld(): void {
    this.held.splice(0).forEach((command) => this.#log.commit(command));
  }

  #submit(command: Command): SubmitResult {
    const uncertain = new Err(createFailure('changeUncertain', 'connection lost'));
    switch (this.forwarding) {
      case 'answered':
        return this.#log.commit(command);
      case 'answerLost':
        this.#log.commit(command);
        return uncertain;
      case 'held':
        this.held.push(command);
        return uncertain;
      case 'noLeader':
        return new Err(createFailure('noQuorum', 'no leader'));
    }
  }
}

function createHosts(): readonly [SimulatedLog, Host, Host] {
  const log = new SimulatedLog();
  return [log, new Host(log), new Host(log)];
}

describe('orders to evacuate a failure domain', () => {
  // Guards against acknowledging an evacuation of a domain that does not exist, which would empty none.
  it('are refused for a domain that the deployment does not have', async () => {
    const [log, host] = createHosts();
    expect(await host.order('start', 'c')).toBe('unknownFailureDomain');
    expect(await host.order('end', 'c')).toBe('unknownFailureDomain');
    expect(log.states).toHaveLength(1);
  });

  // Guards against evacuations on deployments whose gateways do not know them.
  it('are refused without the setting', async () => {
    const log = new SimulatedLog();
    const host = new Host(log);
    const without = new EvacuationControl({
      submitter: { submit: (command) => Promise.resolve(log.commit(command)) },
      readState: () => log.newest,
      clock: { monotonic: () => 0, wall: () => 0 },
      logger: pino({ level: 'silent' }),
      registry: new Registry(),
      failureDomains: undefined,
    });
    expect(host.control.isConfigured).toBe(true);
    expect(without.isConfigured).toBe(false);
    expect((await without.set('a', 'start')).err).toBe(true);
    expect(log.states).toHaveLength(1);
  });

  // Guards against an acknowledgement before the commit.
  it('are not acknowledged without a leader', async () => {
    const [log, host, other] = createHosts();
    host.forwarding = 'noLeader';
    expect(await host.order('start')).toBe('noQuorum');
    expect(log.isEvacuated).toBe(false);
    expect(await other.order('start')).toBe('ok');
  });

  // Guards against another answer for the operator whose control host died between the commit and its answer.
  it('are acknowledged at another host after an answer was lost', async () => {
    const [log, host, other] = createHosts();
    host.forwarding = 'answerLost';
    expect(await host.order('start')).toBe('changeUncertain');
    expect(log.isEvacuated).toBe(true);
    expect(await other.order('start')).toBe('ok');
    expect(await host.order('end')).toBe('changeUncertain');
    expect(log.isEvacuated).toBe(false);
    expect(await other.order('end')).toBe('ok');
    expect(log.isEvacuated).toBe(false);
  });

  // Guards against a start that a frozen control host forwards after the operator has ended the evacuation with the help of another host.
  it('change nothing when they are forwarded after the opposite order', async () => {
    const [log, host, other] = createHosts();
    host.forwarding = 'held';
    await host.order('start');
    await other.order('start');
    await other.order('end');
    log.now += 60_000;
    host.releaseHeld();
    expect(log.isEvacuated).toBe(false);
  });

  // Guards against a duplicate of the first start that a control host receives right after the end, and forwards after the interval in
  // which the leader would recognize it.
  it('are not held when they arrive too soon after the opposite order', async () => {
    const [log, host, other] = createHosts();
    await other.order('start');
    await other.order('end');
    host.forwarding = 'held';
    log.now += turnInterval - 1;
    expect(await host.order('start')).toBe('evacuationTooSoon');
    log.now += 60_000;
    host.releaseHeld();
    expect(log.isEvacuated).toBe(false);
  });

  // Guards against an acknowledgement from a host that has not applied the end yet and takes the domain for evacuated.
  it('are not acknowledged on the state of a host that is behind', async () => {
    const [log, host, other] = createHosts();
    await other.order('start');
    await other.order('end');
    log.now += 10_000;
    host.lag = 1;
    expect(await host.order('start')).toBe('evacuationOutdated');
    expect(await other.order('start')).toBe('ok');
    expect(log.isEvacuated).toBe(true);
  });

  // Guards against any order of lost answers, held commands, lagging hosts and duplicates that leaves the domain in another state than the
  // last acknowledged order asks for. Duplicates arrive within the interval in which they can be recognized.
  it.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'have the last word in random histories (seed %d)',
    async (seed) => {
      const random = createRandomSource(seed);
      const log = new SimulatedLog();
      const hosts = [new Host(log), new Host(log), new Host(log)];
      for (let turn = 0; turn < 60; turn += 1) {
        const action = turn % 2 === 0 ? 'start' : 'end';
        await sendUntilAcknowledged(action, log, hosts, random);
        expect(log.isEvacuated).toBe(action === 'start');
        // Late copies of the order before this one.
        while (turn > 0 && log.recognizesCopies) {
          const host = pick(hosts, random);
          shake(host, log, random);
          await host.order(action === 'start' ? 'end' : 'start');
          expect(log.isEvacuated).toBe(action === 'start');
          log.now += random.integerBelow(turnInterval);
        }
        log.now += random.integerBelow(10_000);
        pick(hosts, random).releaseHeld();
        expect(log.isEvacuated).toBe(action === 'start');
      }
    },
  );
});

function pick(hosts: readonly Host[], random: RandomSource): Host {
  const host = hosts[random.integerBelow(hosts.length)];
  if (host === undefined) {
    throw new Error('no host');
  }
  return host;
}

function shake(host: Host, log: SimulatedLog, random: RandomSource): void {
  const forwardings = ['answered', 'answered', 'answerLost', 'held', 'noLeader'] as const;
  host.forwarding = forwardings[random.integerBelow(forwardings.length)] ?? 'answered';
  host.lag = Math.min(log.states.length - 1, random.integerBelow(3));
}

/** Resends the order to any control host, as an operator does. */
async function sendUntilAcknowledged(
  action: EvacuationAction,
  log: SimulatedLog,
  hosts: readonly Host[],
  random: RandomSource,
): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const host = pick(hosts, random);
    shake(host, log, random);
    if ((await host.order(action)) === 'ok') {
      return;
    }
    log.now += 200 + random.integerBelow(1000);
    if (random.integerBelow(2) === 0) {
      pick(hosts, random).releaseHeld();
    }
  }
  throw new Error('the order was never acknowledged');
}
