import { describe, expect, it } from 'vitest';

import { emptyConfiguration } from '../../src/configuration/index.js';
import {
  defaultHostHealthOptions,
  HostHealth,
  ReturnEstimator,
  type HostHealthEffect,
} from '../../src/control/hosts/index.js';

const { policy } = emptyConfiguration;
const domains = ['bole', 'kality', 'merkato'];
const names = domains.flatMap((domain) => [1, 2, 3, 4].map((number) => `${domain}-${number}`));

/** Drives `HostHealth` with ticks and with heartbeats of all hosts that are not silent. */
class HostHealthHarness {
  readonly health = new HostHealth(defaultHostHealthOptions, policy);
  readonly #effects: HostHealthEffect[] = [];
  now = 0;

  beat(name: string, start = 1, isLeaving = false): void {
    const failureDomain = name.split('-')[0] ?? name;
    const region = 'addis';
    const incarnation = `${name}/${start}`;
    const sign = { host: name, incarnation, region, failureDomain, isHealthy: true, isLeaving };
    this.#handle({ type: 'reported', now: this.now, via: controlHostOf(name), report: sign });
  }

  /** Advances the time by seconds in which only the selected hosts send heartbeats. */
  advance(seconds: number, isHeard: (name: string) => boolean = () => true): void {
    for (let second = 0; second < seconds; second += 1) {
      this.now += 1000;
      names.filter(isHeard).forEach((name) => {
        this.beat(name);
      });
      this.#handle({ type: 'ticked', now: this.now });
    }
  }

  standing(name: string): string {
    return this.health.availabilityOf(name, this.now).type;
  }

  standings(): readonly string[] {
    return names.map((name) => this.standing(name));
  }

  get suspicions(): readonly boolean[] {
    return this.#effects.flatMap((effect) =>
      effect.type === 'isolationSuspicionChanged' ? [effect.isSuspected] : [],
    );
  }

  #handle(event: Parameters<HostHealth['handle']>[0]): void {
    this.#effects.push(...this.health.handle(event));
  }
}

/** Each host reports to one of three control hosts. */
function controlHostOf(name: string): string {
  return `control-${Number(name.split('-')[1]) % 3}`;
}

describe('host health', () => {
  it('suspects a silent host, then marks it gone, and accepts it again when it returns', () => {
    const harness = new HostHealthHarness();
    harness.advance(5);
    harness.advance(4, (name) => name !== 'bole-1');
    expect(harness.standing('bole-1')).toBe('suspected');
    harness.advance(900, (name) => name !== 'bole-1');
    expect(harness.standing('bole-1')).toBe('gone');
    harness.advance(1);
    expect(harness.standing('bole-1')).toBe('present');
    expect(harness.suspicions).toEqual([]);
  });

  it('expects a return within minutes at first and within hours later', () => {
    const estimate = new ReturnEstimator(20_000, 14_400_000, 0.96);
    expect(estimate.estimateReturn(0)).toBeLessThan(700_000);
    expect(estimate.estimateReturn(300_000)).toBeGreaterThan(14_000_000);
  });

  it('quarantines a flapping host for longer each time and resets after a stable period', () => {
    const harness = new HostHealthHarness();
    const heldBack: number[] = [];
    harness.advance(5);
    for (let flap = 0; flap < 4; flap += 1) {
      harness.advance(5, (name) => name !== 'bole-1');
      harness.advance(1);
      let seconds = 0;
      for (; harness.standing('bole-1') === 'quarantined'; seconds += 1) {
        harness.advance(1);
      }
      heldBack.push(seconds);
    }
    expect(heldBack[0]).toBe(0);
    expect(heldBack.slice(1)).toEqual([...heldBack.slice(1)].sort((left, right) => left - right));
    expect(heldBack[3]).toBeGreaterThan(2 * (heldBack[1] ?? 0));
    harness.advance(4 * 3600);
    harness.advance(5, (name) => name !== 'bole-1');
    harness.advance(1);
    expect(harness.standing('bole-1')).toBe('present');
  });

  it('quarantines a host whose heartbeats are repeatedly late', () => {
    const harness = new HostHealthHarness();
    for (let round = 0; round < 8; round += 1) {
      harness.advance(2, (name) => name !== 'bole-1');
      harness.now += 500;
      harness.beat('bole-1');
    }
    expect(harness.standing('bole-1')).toBe('quarantined');
  });

  it('attributes silence in a single failure domain to its hosts', () => {
    const harness = new HostHealthHarness();
    harness.advance(5);
    harness.advance(4, (name) => !name.startsWith('bole'));
    expect(harness.standings().filter((standing) => standing === 'suspected')).toHaveLength(4);
    expect(harness.suspicions).toEqual([]);
  });

  it('suspects its own isolation when most hosts fall silent across failure domains', () => {
    // Guards against control dissolving serving groups: the leading control host is partitioned from most hosts but keeps its
    // quorum, so their reports stop. Judging each silent host separately would cause this.
    const harness = new HostHealthHarness();
    harness.advance(5);
    harness.advance(10, (name) => name === 'bole-1');
    expect(harness.suspicions).toEqual([true]);
    expect(harness.health.isIsolationSuspected).toBe(true);
    harness.advance(1);
    expect(harness.suspicions).toEqual([true, false]);
    expect(harness.standings().every((standing) => standing === 'present')).toBe(true);
  });

  it('does not quarantine hosts for silences caused by control', () => {
    // Guards against quarantining all hosts at once: the control host is partitioned twice in an hour, or pauses. Counting a
    // strike against each host that reports again would cause this.
    const harness = new HostHealthHarness();
    harness.advance(5);
    for (let cut = 0; cut < 4; cut += 1) {
      harness.advance(10, () => false);
      harness.advance(5);
      harness.now += 10_000;
      harness.advance(5);
    }
    expect(harness.standings().every((standing) => standing === 'present')).toBe(true);
  });

  it('accepts the loss of most hosts once they stay silent', () => {
    const harness = new HostHealthHarness();
    harness.advance(5);
    harness.advance(70, (name) => name.startsWith('bole'));
    expect(harness.suspicions).toEqual([true, false]);
    expect(harness.standing('kality-1')).toBe('suspected');
  });

  it('waits for hosts of one control host that fall silent together', () => {
    const harness = new HostHealthHarness();
    harness.advance(5);
    harness.advance(5, (name) => controlHostOf(name) !== 'control-1');
    const silent = names.filter((name) => controlHostOf(name) === 'control-1');
    const soon = { type: 'suspected', expectedReturn: 0 };
    for (const name of silent) {
      expect(harness.health.availabilityOf(name, harness.now)).toEqual(soon);
    }
    harness.advance(60, (name) => controlHostOf(name) !== 'control-1');
    for (const name of silent) {
      expect(harness.health.availabilityOf(name, harness.now)).not.toEqual(soon);
    }
  });

  it('treats a closed connection as a failure only if the lead misses the host too', () => {
    // Guards against replacing a serving group: the lead's sidecar switches to another control host and its old connection closes.
    // Treating a closed connection as proof of failure would cause this.
    const harness = new HostHealthHarness();
    harness.advance(5);
    harness.health.handle({ type: 'connectionClosed', now: harness.now, host: 'bole-1' });
    harness.health.handle({ type: 'connectionClosed', now: harness.now, host: 'bole-2' });
    harness.health.handle({ type: 'missed', now: harness.now, host: 'bole-2' });
    expect(harness.standing('bole-1')).toBe('present');
    expect(harness.standing('bole-2')).toBe('suspected');
    harness.now += defaultHostHealthOptions.reconnectGrace;
    expect(harness.standing('bole-1')).toBe('suspected');
  });

  it('marks a host gone at once after a planned stop, without a strike', () => {
    const harness = new HostHealthHarness();
    harness.advance(5);
    for (let start = 1; start < 6; start += 1) {
      harness.beat('bole-1', start, true);
      expect(harness.standing('bole-1')).toBe('gone');
      harness.beat('bole-1', start + 1);
      expect(harness.standing('bole-1')).toBe('present');
    }
  });

  it('gives every host time to report to a new leader', () => {
    const harness = new HostHealthHarness();
    harness.advance(5);
    harness.now += 60_000;
    harness.health.handle({ type: 'leadershipTaken', now: harness.now });
    expect(harness.standings().every((standing) => standing === 'present')).toBe(true);
  });
});
