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

/** Drives host health as its shell would: heartbeats of all hosts but the silent ones, and its own ticks. */
class Watch {
  readonly health = new HostHealth(defaultHostHealthOptions, policy);
  readonly #effects: HostHealthEffect[] = [];
  now = 0;

  beat(name: string, start = 1, isLeaving = false): void {
    const failureDomain = name.split('-')[0] ?? name;
    const region = 'addis';
    const incarnation = `${name}/${start}`;
    const sign = { host: name, incarnation, region, failureDomain, isHealthy: true, isLeaving };
    this.#handle({ type: 'reported', now: this.now, via: viaOf(name), report: sign });
  }

  /** Lets seconds pass in which only some hosts are heard. */
  pass(seconds: number, isHeard: (name: string) => boolean = () => true): void {
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

/** Hosts report through one of three control hosts. */
function viaOf(name: string): string {
  return `control-${Number(name.split('-')[1]) % 3}`;
}

describe('host health', () => {
  it('suspects a silent host, then gives it up, and takes it back when it returns', () => {
    const watch = new Watch();
    watch.pass(5);
    watch.pass(4, (name) => name !== 'bole-1');
    expect(watch.standing('bole-1')).toBe('suspected');
    watch.pass(900, (name) => name !== 'bole-1');
    expect(watch.standing('bole-1')).toBe('gone');
    watch.pass(1);
    expect(watch.standing('bole-1')).toBe('present');
    expect(watch.suspicions).toEqual([]);
  });

  it('expects a return within seconds at first and within hours later', () => {
    const estimate = new ReturnEstimator(20_000, 14_400_000, 0.96);
    expect(estimate.estimateReturn(0)).toBeLessThan(700_000);
    expect(estimate.estimateReturn(300_000)).toBeGreaterThan(14_000_000);
  });

  it('holds a flapping host back longer each time and forgives it with time', () => {
    const watch = new Watch();
    const heldBack: number[] = [];
    watch.pass(5);
    for (let flap = 0; flap < 4; flap += 1) {
      watch.pass(5, (name) => name !== 'bole-1');
      watch.pass(1);
      let seconds = 0;
      for (; watch.standing('bole-1') === 'quarantined'; seconds += 1) {
        watch.pass(1);
      }
      heldBack.push(seconds);
    }
    expect(heldBack[0]).toBe(0);
    expect(heldBack.slice(1)).toEqual([...heldBack.slice(1)].sort((left, right) => left - right));
    expect(heldBack[3]).toBeGreaterThan(2 * (heldBack[1] ?? 0));
    watch.pass(4 * 3600);
    watch.pass(5, (name) => name !== 'bole-1');
    watch.pass(1);
    expect(watch.standing('bole-1')).toBe('present');
  });

  it('holds a straggler back whose heartbeats keep coming late', () => {
    const watch = new Watch();
    for (let round = 0; round < 8; round += 1) {
      watch.pass(2, (name) => name !== 'bole-1');
      watch.now += 500;
      watch.beat('bole-1');
    }
    expect(watch.standing('bole-1')).toBe('quarantined');
  });

  it('takes a dark failure domain for what it is', () => {
    const watch = new Watch();
    watch.pass(5);
    watch.pass(4, (name) => !name.startsWith('bole'));
    expect(watch.standings().filter((standing) => standing === 'suspected')).toHaveLength(4);
    expect(watch.suspicions).toEqual([]);
  });

  it('suspects itself before the hosts when most of them fall silent across failure domains', () => {
    // Symptom: control dissolves groups that serve. Sequence: the control host that leads is cut off from most hosts while it
    // keeps its quorum; their reports stop. Cause to keep out: taking each silence by itself.
    const watch = new Watch();
    watch.pass(5);
    watch.pass(10, (name) => name === 'bole-1');
    expect(watch.suspicions).toEqual([true]);
    expect(watch.health.isIsolationSuspected).toBe(true);
    watch.pass(1);
    expect(watch.suspicions).toEqual([true, false]);
    expect(watch.standings().every((standing) => standing === 'present')).toBe(true);
  });

  it('holds no host back for silences that were its own', () => {
    // Symptom: all hosts are quarantined at once. Sequence: the control host is cut off twice in an hour, or stands still.
    // Cause to keep out: counting a strike against each host that is heard again.
    const watch = new Watch();
    watch.pass(5);
    for (let cut = 0; cut < 4; cut += 1) {
      watch.pass(10, () => false);
      watch.pass(5);
      watch.now += 10_000;
      watch.pass(5);
    }
    expect(watch.standings().every((standing) => standing === 'present')).toBe(true);
  });

  it('acts on the loss of most hosts once they stay silent', () => {
    const watch = new Watch();
    watch.pass(5);
    watch.pass(70, (name) => name.startsWith('bole'));
    expect(watch.suspicions).toEqual([true, false]);
    expect(watch.standing('kality-1')).toBe('suspected');
  });

  it('waits for hosts that fell silent together behind one control host', () => {
    const watch = new Watch();
    watch.pass(5);
    watch.pass(5, (name) => viaOf(name) !== 'control-1');
    const silent = names.filter((name) => viaOf(name) === 'control-1');
    const soon = { type: 'suspected', expectedReturn: 0 };
    for (const name of silent) {
      expect(watch.health.availabilityOf(name, watch.now)).toEqual(soon);
    }
    watch.pass(60, (name) => viaOf(name) !== 'control-1');
    for (const name of silent) {
      expect(watch.health.availabilityOf(name, watch.now)).not.toEqual(soon);
    }
  });

  it('takes a closed connection for a death only when the lead misses the host too', () => {
    // Symptom: a group that serves is replaced. Sequence: the lead's sidecar turns to another control host, its old connection
    // closes. Cause to keep out: a closed connection as proof of death.
    const watch = new Watch();
    watch.pass(5);
    watch.health.handle({ type: 'connectionClosed', now: watch.now, host: 'bole-1' });
    watch.health.handle({ type: 'connectionClosed', now: watch.now, host: 'bole-2' });
    watch.health.handle({ type: 'missed', now: watch.now, host: 'bole-2' });
    expect(watch.standing('bole-1')).toBe('present');
    expect(watch.standing('bole-2')).toBe('suspected');
    watch.now += defaultHostHealthOptions.reconnectGrace;
    expect(watch.standing('bole-1')).toBe('suspected');
  });

  it('takes a planned stop as gone at once and without a strike', () => {
    const watch = new Watch();
    watch.pass(5);
    for (let start = 1; start < 6; start += 1) {
      watch.beat('bole-1', start, true);
      expect(watch.standing('bole-1')).toBe('gone');
      watch.beat('bole-1', start + 1);
      expect(watch.standing('bole-1')).toBe('present');
    }
  });

  it('gives every host time to be heard by a new leader', () => {
    const watch = new Watch();
    watch.pass(5);
    watch.now += 60_000;
    watch.health.handle({ type: 'leadershipTaken', now: watch.now });
    expect(watch.standings().every((standing) => standing === 'present')).toBe(true);
  });
});
