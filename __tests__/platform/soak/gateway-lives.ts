/** The lives of the gateways of a soak: each start of a process is a life of its own. */

interface Span {
  readonly from: number;
  readonly until: number;
}

interface GatewayLife {
  readonly startedAt: number;
  /** Time of a planned stop; undefined while there is none. */
  stoppedAt: number | undefined;
  readonly freezes: Span[];
}

export class GatewayLives {
  readonly #lives: GatewayLife[][];

  constructor(gatewayCount: number) {
    this.#lives = Array.from({ length: gatewayCount }, () => [createLife()]);
  }

  get gatewayCount(): number {
    return this.#lives.length;
  }

  /** Key of the present life of a gateway; part of the ids of the requests sent to it. */
  currentKey(gateway: number): string {
    return `${gateway}.${(this.#lives[gateway]?.length ?? 1) - 1}`;
  }

  find(key: string): GatewayLife {
    const [gateway = 0, life = 0] = key.split('.').map(Number);
    const found = this.#lives[gateway]?.[life];
    if (found === undefined) {
      throw new Error(`no life ${key}`);
    }
    return found;
  }

  noteRestart(gateway: number): void {
    this.#lives[gateway]?.push(createLife());
  }

  noteStop(gateway: number): void {
    this.find(this.currentKey(gateway)).stoppedAt = performance.now();
  }

  noteFreeze(gateway: number, from: number): void {
    this.find(this.currentKey(gateway)).freezes.push({ from, until: performance.now() });
  }

  /** Whether the life was frozen at any moment of the span. */
  wasFrozen(key: string, from: number, until: number): boolean {
    return this.find(key).freezes.some((freeze) => freeze.from < until && freeze.until > from);
  }
}

function createLife(): GatewayLife {
  return { startedAt: performance.now(), stoppedAt: undefined, freezes: [] };
}
