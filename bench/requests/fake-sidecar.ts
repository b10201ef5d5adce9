import type { Controller, Milliseconds } from '../../src/common/index.js';
import {
  formatAttemptName,
  type AttemptName,
  type AttemptOrder,
  type AttemptState,
  type Group,
} from '../../src/model/index.js';
import type {
  AttemptEffect,
  AttemptEvent,
  AttemptKey,
  AttemptMessage,
} from '../../src/sidecar/attempts/index.js';
import type { VirtualLoop } from './virtual-loop.js';

/** What the engine of a fake sidecar does with one request. */
export interface FakeWork {
  readonly contentType: string;
  readonly firstChunkAfter: Milliseconds;
  readonly chunkInterval: Milliseconds;
  readonly chunks: number;
}

/** Told of what a fake sidecar does. */
export interface SidecarObserver {
  readonly started: (name: AttemptName, at: Milliseconds) => void;
}

/** Makes the decisions of a sidecar. */
export type CreateAttempts = (incarnation: string) => Controller<AttemptEvent, AttemptEffect>;

const confirmDelay: Milliseconds = 0.2;

/** A sidecar's decisions with a fake engine behind them. */
export class FakeSidecar {
  readonly address: string;
  readonly #loop: VirtualLoop;
  readonly #create: CreateAttempts;
  readonly #readWork: (name: AttemptName) => FakeWork;
  readonly #observer: SidecarObserver;
  readonly #concurrency: number;
  #attempts: Controller<AttemptEvent, AttemptEffect>;
  #names = new Map<AttemptKey, AttemptName>();
  #cancelled = new Set<AttemptKey>();
  #subscribers = new Map<number, (message: AttemptMessage | undefined) => void>();
  #questions = new Map<number, (state: AttemptState) => void>();
  #generation = 1;
  #next = 1;
  #frozen: (() => void)[] | undefined;
  isWhole = true;
  isEngineBroken = false;
  /** Nothing answers at its address. */
  isDead = false;
  /** Factor on the time that the engine takes. */
  slowness = 1;

  constructor(
    loop: VirtualLoop,
    address: string,
    concurrency: number,
    create: CreateAttempts,
    readWork: (name: AttemptName) => FakeWork,
    observer: SidecarObserver,
  ) {
    this.#loop = loop;
    this.address = address;
    this.#concurrency = concurrency;
    this.#create = create;
    this.#readWork = readWork;
    this.#observer = observer;
    this.#attempts = create(this.incarnation);
  }

  get incarnation(): string {
    return `${this.address}#${this.#generation}`;
  }

  /** A new start: nothing of the old one is known, but what the engine has begun goes on. */
  restart(): void {
    this.#generation += 1;
    this.#attempts = this.#create(this.incarnation);
    this.#names = new Map();
    const listeners = [...this.#subscribers.values()];
    this.#subscribers = new Map();
    this.#questions = new Map();
    listeners.forEach((listener) => {
      listener(undefined);
    });
  }

  freeze(): void {
    this.#frozen ??= [];
  }

  thaw(): void {
    const waiting = this.#frozen ?? [];
    this.#frozen = undefined;
    waiting.forEach((run) => {
      run();
    });
  }

  /** A Run message arrives; the listener gets undefined when the stream closes. */
  run(
    order: AttemptOrder,
    group: Group,
    listener: (message: AttemptMessage | undefined) => void,
  ): void {
    this.#whenAwake(() => {
      const subscriber = this.#subscribe(listener);
      this.#names.set(formatAttemptName(order.name), order.name);
      const { fencingNumber, isDraining } = group;
      const { isWhole } = this;
      const concurrency = this.#concurrency;
      const now = this.#loop.now;
      this.#handle({
        type: 'arrived',
        now,
        wallNow: now,
        subscriber,
        order,
        group: { fencingNumber, isWhole, isDraining, concurrency },
        revision: 1,
      });
    });
  }

  resume(
    name: AttemptName,
    offset: number,
    listener: (message: AttemptMessage | undefined) => void,
  ): void {
    this.#whenAwake(() => {
      const subscriber = this.#subscribe(listener);
      this.#handle({ type: 'resumed', now: this.#loop.now, subscriber, name, offset });
    });
  }

  ask(name: AttemptName, answer: (state: AttemptState) => void): void {
    this.#whenAwake(() => {
      const question = this.#takeNumber();
      this.#questions.set(question, answer);
      this.#handle({ type: 'asked', now: this.#loop.now, question, name });
    });
  }

  cancel(name: AttemptName): void {
    this.#whenAwake(() => {
      this.#handle({ type: 'cancelled', now: this.#loop.now, name });
    });
  }

  tick(): void {
    if (this.#frozen === undefined) {
      this.#handle({ type: 'tick', now: this.#loop.now });
    }
  }

  #subscribe(listener: (message: AttemptMessage | undefined) => void): number {
    const subscriber = this.#takeNumber();
    this.#subscribers.set(subscriber, listener);
    return subscriber;
  }

  #handle(event: AttemptEvent): void {
    for (const effect of this.#attempts.handle(event)) {
      this.#carryOut(effect);
    }
  }

  #carryOut(effect: AttemptEffect): void {
    switch (effect.type) {
      case 'send':
        this.#subscribers.get(effect.subscriber)?.(effect.message);
        return;
      case 'closeSubscriber':
        this.#subscribers.get(effect.subscriber)?.(undefined);
        this.#subscribers.delete(effect.subscriber);
        return;
      case 'confirm':
        this.#later(confirmDelay, () => {
          const code = this.isWhole ? 'ok' : 'notWhole';
          this.#handle({ type: 'confirmed', now: this.#loop.now, key: effect.key, code });
        });
        return;
      case 'startUpstream':
        this.#startEngine(effect.key);
        return;
      case 'cancelUpstream':
        this.#cancelled.add(effect.key);
        return;
      case 'answerAsk':
        this.#questions.get(effect.question)?.(effect.state);
        this.#questions.delete(effect.question);
        return;
      case 'dropRequest':
        this.#names.delete(effect.key);
        return;
    }
  }

  #startEngine(key: AttemptKey): void {
    const name = this.#names.get(key);
    if (name === undefined) {
      throw new Error(`the engine was started for ${key}, which never arrived`);
    }
    this.#observer.started(name, this.#loop.now);
    const work = this.#readWork(name);
    this.#later(0, () => {
      const headers = [{ name: 'content-type', value: work.contentType }];
      const now = this.#loop.now;
      this.#handle({ type: 'upstreamHead', now, key, status: 200, headers });
    });
    this.#emit(key, name, work, 0, work.firstChunkAfter);
  }

  #emit(
    key: AttemptKey,
    name: AttemptName,
    work: FakeWork,
    index: number,
    delay: Milliseconds,
  ): void {
    this.#later(delay * this.slowness, () => {
      if (this.#cancelled.delete(key)) {
        return;
      }
      const now = this.#loop.now;
      if (this.isEngineBroken) {
        this.#handle({ type: 'upstreamEnded', now, key, code: 'answerBroken' });
        return;
      }
      if (index === work.chunks) {
        this.#handle({ type: 'upstreamEnded', now, key, code: 'ok' });
        return;
      }
      this.#handle({ type: 'upstreamData', now, key, bytes: formatChunk(name, work, index) });
      const isLast = index + 1 === work.chunks;
      this.#emit(key, name, work, index + 1, isLast ? 0 : work.chunkInterval);
    });
  }

  /** Something of this generation of the sidecar; a restarted one never hears of it. */
  #later(delay: Milliseconds, run: () => void): void {
    const generation = this.#generation;
    this.#loop.after(delay, () => {
      this.#whenAwake(() => {
        if (generation === this.#generation) {
          run();
        }
      });
    });
  }

  #whenAwake(run: () => void): void {
    if (this.#frozen === undefined) {
      run();
    } else {
      this.#frozen.push(run);
    }
  }

  #takeNumber(): number {
    this.#next += 1;
    return this.#next;
  }
}

/** The bytes of one chunk: they name their request and attempt, so that a mixed-up answer shows. */
export function formatChunk(name: AttemptName, work: FakeWork, index: number): Uint8Array {
  const isLast = index + 1 === work.chunks;
  const text = isLast
    ? 'data: [DONE]\n\n'
    : `data: {"request":"${name.requestId}","attempt":${name.attempt},"index":${index}}\n\n`;
  return Buffer.from(text);
}

/** The whole answer of one attempt. */
export function formatWholeAnswer(name: AttemptName, work: FakeWork): string {
  const indexes = Array.from({ length: work.chunks }, (_, index) => index);
  return indexes.map((index) => Buffer.from(formatChunk(name, work, index)).toString()).join('');
}
