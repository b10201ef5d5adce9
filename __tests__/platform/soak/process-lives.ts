import type { ProgramExit } from '../../support/index.js';

/** The lives of the processes of one kind in a soak: each start of a process is a life of its own. Times in milliseconds. */

interface Span {
  readonly from: number;
  readonly until: number;
}

export interface LifeEnd extends ProgramExit {
  readonly at: number;
  /** Whether the process had written anything: before that, no program can handle a signal. */
  readonly hasWritten: boolean;
}

export interface ProcessLife {
  readonly startedAt: number;
  /** Time of the first SIGTERM; undefined while there is none. */
  stoppedAt: number | undefined;
  killedAt: number | undefined;
  end: LifeEnd | undefined;
  readonly freezes: Span[];
  /** Times of SIGHUP. */
  readonly hangUps: number[];
}

export class ProcessLives {
  readonly #lives: ProcessLife[][];

  constructor(processCount: number) {
    this.#lives = Array.from({ length: processCount }, () => [createLife()]);
  }

  get processCount(): number {
    return this.#lives.length;
  }

  /** All lives with their keys. */
  list(): readonly (readonly [string, ProcessLife])[] {
    return this.#lives.flatMap((lives, index) => {
      return lives.map((life, place) => [createKey(index, place), life] as const);
    });
  }

  /** Key of the present life of a process; with gateways, part of the ids of the requests sent to it. */
  currentKey(index: number): string {
    return createKey(index, (this.#lives[index]?.length ?? 1) - 1);
  }

  find(key: string): ProcessLife {
    const [index = 0, life = 0] = key.split('.').map(Number);
    const found = this.#lives[index]?.[life];
    if (found === undefined) {
      throw new Error(`no life ${key}`);
    }
    return found;
  }

  current(index: number): ProcessLife {
    return this.find(this.currentKey(index));
  }

  noteRestart(index: number): void {
    this.#lives[index]?.push(createLife());
  }

  noteStop(index: number): void {
    this.current(index).stoppedAt ??= performance.now();
  }

  noteKill(index: number): void {
    this.current(index).killedAt = performance.now();
  }

  noteHangUp(index: number): void {
    this.current(index).hangUps.push(performance.now());
  }

  noteEnd(index: number, exit: ProgramExit, hasWritten: boolean): void {
    this.current(index).end = { ...exit, at: performance.now(), hasWritten };
  }

  noteFreeze(index: number, from: number): void {
    this.current(index).freezes.push({ from, until: performance.now() });
  }

  /** Whether the life was frozen at any moment of the span. */
  wasFrozen(key: string, from: number, until: number): boolean {
    return this.find(key).freezes.some((freeze) => freeze.from < until && freeze.until > from);
  }
}

/** Time in a span during which a life was frozen. */
export function sumFreezes({ freezes }: ProcessLife, from: number, until: number): number {
  const parts = freezes.map((freeze) => {
    return Math.min(until, freeze.until) - Math.max(from, freeze.from);
  });
  return parts.reduce((sum, part) => sum + Math.max(0, part), 0);
}

function createKey(index: number, life: number): string {
  return `${index}.${life}`;
}

function createLife(): ProcessLife {
  return {
    startedAt: performance.now(),
    stoppedAt: undefined,
    killedAt: undefined,
    end: undefined,
    freezes: [],
    hangUps: [],
  };
}
