/** Notes when this process stood still: its callers then see late what happened to their connections. Times in milliseconds. */

const checkInterval = 10;
/** Shorter delays of a check are usual. */
const shortestStall = 20;

interface Stall {
  readonly from: number;
  readonly until: number;
}

export class StallLog {
  readonly #stalls: Stall[] = [];
  #checkedAt = performance.now();
  readonly #timer = setInterval(() => {
    this.#check();
  }, checkInterval);

  close(): void {
    clearInterval(this.#timer);
  }

  get longest(): number {
    return Math.max(0, ...this.#stalls.map(({ from, until }) => until - from));
  }

  /** Time of a span during which this process stood still. */
  sum(from: number, until: number): number {
    const parts = this.#stalls.map((stall) => {
      return Math.min(until, stall.until) - Math.max(from, stall.from);
    });
    return parts.reduce((sum, part) => sum + Math.max(0, part), 0);
  }

  #check(): void {
    const now = performance.now();
    const expectedAt = this.#checkedAt + checkInterval;
    if (now - expectedAt > shortestStall) {
      this.#stalls.push({ from: expectedAt, until: now });
    }
    this.#checkedAt = now;
  }
}
