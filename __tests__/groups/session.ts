import { LeaseLead, type LeaseAnswer, type LeaseLeadEffect } from '../../src/lease/index.js';
import {
  findLead,
  type Artifact,
  type Configuration,
  type Group,
  type GroupHealth,
} from '../../src/model/index.js';
import { describeGroup, loadDuration, SessionControl } from './session-control.js';
import {
  describeHost,
  leaseDuration,
  restartHost,
  startHost,
  type LedGroup,
  type SessionHost,
} from './session-host.js';

/**
 * A session of a few hosts and one control host for golden files: real decisions, one step every 50 ms, messages that
 * arrive at once or, over a cut link, not at all. What happens is written down as lines.
 */

const stepMilliseconds = 50;
const reportInterval = 1000;
const placementInterval = 250;

export class Session {
  readonly #lines: string[] = [];
  readonly #hosts: ReadonlyMap<string, SessionHost>;
  readonly #control: SessionControl;
  readonly #cut = new Set<string>();
  /** Messages under way, carried out only after the effects of the step that sent them. */
  readonly #messages: (() => void)[] = [];
  #now = 0;

  constructor(
    names: readonly string[],
    configuration: Configuration,
    options: { readonly loaded?: Artifact; readonly rates?: Readonly<Record<string, number>> } = {},
  ) {
    this.#control = new SessionControl(configuration, (line) => {
      this.#log(line);
    });
    this.#hosts = new Map(
      names.map((name) => [name, startHost(name, options.rates?.[name] ?? 1, options.loaded)]),
    );
  }

  /** The whole session as text. */
  get text(): string {
    return `${this.#lines.join('\n')}\n`;
  }

  /** Lets time pass. */
  pass(milliseconds: number): void {
    for (const end = this.#now + milliseconds; this.#now < end;) {
      this.#now += stepMilliseconds;
      this.#step();
    }
  }

  /** Heading of what the session does next. */
  note(text: string): void {
    this.#log(`-- ${text}`);
  }

  /** The process ends and its connections close. */
  kill(name: string): void {
    this.note(`${name} is killed`);
    this.#stop(name);
    for (const host of this.#hosts.values()) {
      for (const led of host.leads.values()) {
        const event = { type: 'connectionClosed', now: this.#clock(host), member: name } as const;
        this.#runLead(host, led, led.lead.handle(event));
      }
    }
    this.#control.noteClosed(name, this.#now);
  }

  /** The host loses its power: nothing closes, nothing answers. */
  darken(name: string): void {
    this.note(`${name} goes dark`);
    this.#stop(name);
  }

  start(name: string, loaded?: Artifact): void {
    this.note(`${name} starts again`);
    const host = this.#find(name);
    host.loaded = loaded ?? host.loaded;
    restartHost(host, this.#clock(host));
  }

  freeze(name: string): void {
    this.note(`${name} is frozen`);
    this.#find(name).state = 'frozen';
  }

  thaw(name: string): void {
    this.note(`${name} goes on`);
    this.#find(name).state = 'running';
    this.attempt(name);
  }

  /** Nothing passes between the two any more; `control` is a name too. */
  cut(one: string, other: string): void {
    this.note(`${one} and ${other} are cut off from each other`);
    this.#cut.add(linkOf(one, other));
  }

  mend(one: string, other: string): void {
    this.note(`${one} and ${other} reach each other again`);
    this.#cut.delete(linkOf(one, other));
  }

  /** Work in flight at the groups a host leads. */
  setRunning(name: string, running: number): void {
    this.note(`${name} has ${running} attempts in flight`);
    const host = this.#find(name);
    host.running = running;
    for (const led of host.leads.values()) {
      const event = { type: 'attemptsChanged', now: this.#clock(host), running } as const;
      this.#runLead(host, led, led.lead.handle(event));
    }
  }

  drain(name: string): void {
    this.note(`${name} is to stop`);
    const host = this.#find(name);
    host.isDraining = true;
    this.#answer(host.member.handle({ type: 'drainRequested', now: this.#clock(host) }), host);
    this.#deliver();
  }

  /** What each placement that the host leads says to a new attempt at this moment. */
  attempt(name: string): void {
    const host = this.#find(name);
    for (const { group, lead } of host.leads.values()) {
      this.#log(
        `${name}: ${describeGroup(group)} answers an attempt: ${lead.admission(this.#clock(host))}`,
      );
    }
  }

  configure(configuration: Configuration): void {
    this.#control.configure(configuration);
  }

  #step(): void {
    for (const host of this.#hosts.values()) {
      if (host.state === 'running') {
        this.#stepHost(host);
      }
    }
    this.#deliver();
    if (this.#now % placementInterval === 0) {
      this.#control.tick(this.#now);
    }
  }

  #stepHost(host: SessionHost): void {
    if (this.#isLinked(host.name, 'control')) {
      this.#learn(host);
      if (this.#now % reportInterval === 0) {
        this.#report(host);
      }
    }
    for (const led of host.leads.values()) {
      if (led.lead.isDraining) {
        const event = {
          type: 'attemptsChanged',
          now: this.#clock(host),
          running: host.running,
        } as const;
        this.#runLead(host, led, led.lead.handle(event));
      }
      if (led.wakeAt <= this.#clock(host)) {
        this.#runLead(host, led, led.lead.handle({ type: 'ticked', now: this.#clock(host) }));
      }
    }
  }

  #report(host: SessionHost): void {
    const groups = [...host.leads.values()].map(({ lead }) => lead.health(this.#clock(host)));
    this.#control.hear(describeHost(host), groups, this.#now);
  }

  /** A host hears of the present placements. */
  #learn(host: SessionHost): void {
    for (const [fencingNumber, led] of host.leads) {
      const present = this.#control.groups.get(led.group.name);
      if (present?.fencingNumber !== fencingNumber) {
        this.#runLead(host, led, led.lead.handle({ type: 'dissolved', now: this.#clock(host) }));
        host.leads.delete(fencingNumber);
      } else if (present.isDraining && !led.lead.isDraining) {
        this.#runLead(
          host,
          led,
          led.lead.handle({ type: 'drainRequested', now: this.#clock(host) }),
        );
      }
    }
    for (const group of this.#control.groups.values()) {
      if (group.members.some((member) => member.host === host.name)) {
        this.#prepare(host, group);
      }
      if (findLead(group).host === host.name && !host.leads.has(group.fencingNumber)) {
        this.#lead(host, group);
      }
    }
  }

  #prepare(host: SessionHost, group: Group): void {
    if (group.offer.type !== 'model') {
      return;
    }
    const { artifact } = group.offer;
    const isReady = host.loaded?.version === artifact.version;
    if (!isReady && host.loadingUntil === Infinity) {
      host.loadingUntil = this.#now + loadDuration;
    }
    if (!isReady && host.loadingUntil <= this.#now) {
      host.loaded = artifact;
      host.loadingUntil = Infinity;
      this.#log(`${host.name}: loaded`);
    }
    const { name, fencingNumber } = group;
    const now = this.#clock(host);
    host.member.handle({ type: 'readinessChanged', now, group: name, fencingNumber, isReady });
  }

  #lead(host: SessionHost, group: Group): void {
    const lead = new LeaseLead({
      group,
      incarnation: `${host.name}/${host.start}`,
      duration: leaseDuration,
      confirmBatch: 3,
      confirmTimeout: 250,
    });
    const led: LedGroup = { group, lead, wakeAt: Infinity, health: undefined };
    host.leads.set(group.fencingNumber, led);
    this.#runLead(host, led, lead.handle({ type: 'started', now: this.#clock(host) }));
  }

  #runLead(host: SessionHost, led: LedGroup, effects: readonly LeaseLeadEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'ask':
          this.#ask(host, effect);
          break;
        case 'wake':
          led.wakeAt = effect.at;
          break;
        case 'healthChanged':
          this.#logHealth(host, led, effect.health);
          break;
        case 'drainNoted':
          this.#log(`${host.name}: ${describeGroup(led.group)} drains for ${effect.member}`);
          break;
        case 'superseded':
          this.#log(`${host.name}: ${describeGroup(led.group)} is superseded at ${effect.member}`);
          break;
        case 'confirmed':
          break;
      }
    }
  }

  #ask(host: SessionHost, { member, question }: Extract<LeaseLeadEffect, { type: 'ask' }>): void {
    const asked = this.#find(member.host);
    if (asked.state !== 'running' || !this.#isLinked(host.name, asked.name)) {
      return;
    }
    this.#messages.push(() => {
      const now = this.#clock(asked);
      this.#answer(asked.member.handle({ type: 'asked', now, question }), asked);
    });
  }

  #answer(
    effects: readonly { readonly to: string; readonly answer: LeaseAnswer }[],
    from: SessionHost,
  ): void {
    for (const { to, answer } of effects) {
      const host = this.#find(to);
      const led = host.leads.get(answer.fencingNumber);
      if (led !== undefined && host.state === 'running' && this.#isLinked(host.name, from.name)) {
        const event = { type: 'answered', now: this.#clock(host), answer } as const;
        this.#messages.push(() => {
          this.#runLead(host, led, led.lead.handle(event));
        });
      }
    }
  }

  #deliver(): void {
    for (
      let message = this.#messages.shift();
      message !== undefined;
      message = this.#messages.shift()
    ) {
      message();
    }
  }

  #logHealth(host: SessionHost, led: LedGroup, health: GroupHealth): void {
    const wasServing = led.health?.isServing ?? false;
    const wasDrained = led.health?.isDrained ?? false;
    led.health = health;
    if (health.isServing !== wasServing) {
      const state = health.isServing
        ? 'serves'
        : `no longer serves, missing ${health.missing.join(' ') || 'none'}`;
      this.#log(`${host.name}: ${describeGroup(led.group)} ${state}`);
    }
    if (host.state === 'running' && this.#isLinked(host.name, 'control')) {
      this.#report(host);
    }
    if (health.isDrained && !wasDrained) {
      this.#log(`${host.name}: ${describeGroup(led.group)} is drained`);
    }
  }

  #stop(name: string): void {
    const host = this.#find(name);
    host.state = 'down';
    host.leads.clear();
  }

  #isLinked(one: string, other: string): boolean {
    return !this.#cut.has(linkOf(one, other));
  }

  #clock(host: SessionHost): number {
    return this.#now * host.rate;
  }

  #find(name: string): SessionHost {
    const host = this.#hosts.get(name);
    if (host === undefined) {
      throw new Error(`no host ${name}`);
    }
    return host;
  }

  #log(line: string): void {
    this.#lines.push(`${(this.#now / 1000).toFixed(2).padStart(7)}  ${line}`);
  }
}

function linkOf(one: string, other: string): string {
  return [one, other].sort().join(' ');
}
