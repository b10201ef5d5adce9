/** A bounded load of chat completions over loopback, and what came of it. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

export interface LoadOptions {
  /** `http://127.0.0.1:port`. */
  readonly origin: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly model: string;
  readonly isStreamed: boolean;
  readonly tokens: number;
  readonly requests: number;
  readonly concurrency: number;
}

export interface LoadResult {
  readonly requests: number;
  readonly failures: number;
  /** What the first failure was, for the reader of a bench that went wrong. */
  readonly firstFailure: string | undefined;
  readonly seconds: number;
  /** Whole answers, in microseconds. */
  readonly latency: Histogram;
  /** First bytes of the body, in microseconds. */
  readonly firstByte: Histogram;
}

const highestMicroseconds = 120_000_000;

/** Sends all requests, each of `concurrency` senders one after the other, and checks that each answer is whole. */
export async function generateLoad(options: LoadOptions): Promise<LoadResult> {
  const pool = new Pool(options.origin, { connections: options.concurrency, pipelining: 1 });
  const latency = createHistogram();
  const firstByte = createHistogram();
  const failures: string[] = [];
  let remaining = options.requests;
  const send = async (): Promise<void> => {
    while (remaining > 0) {
      remaining -= 1;
      const failure = await sendOne(pool, options, remaining, latency, firstByte);
      if (failure !== undefined) {
        failures.push(failure);
      }
    }
  };
  const start = performance.now();
  await Promise.all(Array.from({ length: options.concurrency }, send));
  const seconds = (performance.now() - start) / 1000;
  await pool.close();
  return {
    requests: options.requests,
    failures: failures.length,
    firstFailure: failures[0],
    seconds,
    latency,
    firstByte,
  };
}

/** Undefined for a whole answer to this very request. */
async function sendOne(
  pool: Pool,
  options: LoadOptions,
  number: number,
  latency: Histogram,
  firstByte: Histogram,
): Promise<string | undefined> {
  const word = `request${number}`;
  const start = performance.now();
  try {
    const { statusCode, body } = await pool.request({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', ...options.headers },
      body: createBody(options, word),
    });
    const chunks: Buffer[] = [];
    for await (const chunk of body as AsyncIterable<Buffer>) {
      if (chunks.length === 0) {
        firstByte.recordValue(toMicroseconds(start));
      }
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString('utf8');
    const failure = findFault(options, statusCode, text, word);
    if (failure === undefined) {
      latency.recordValue(toMicroseconds(start));
    }
    return failure;
  } catch (error) {
    return String(error);
  }
}

function createBody(options: LoadOptions, word: string): string {
  return JSON.stringify({
    model: options.model,
    messages: [{ role: 'user', content: word }],
    stream: options.isStreamed,
    max_tokens: options.tokens,
  });
}

function findFault(
  options: LoadOptions,
  statusCode: number,
  text: string,
  word: string,
): string | undefined {
  if (statusCode !== 200) {
    return `status ${statusCode}: ${text.slice(0, 300)}`;
  }
  if (options.isStreamed && !text.trimEnd().endsWith('data: [DONE]')) {
    return `not whole: ${text.slice(-300)}`;
  }
  const tokens = text.split(`${word}#`).length - 1;
  return tokens === options.tokens ? undefined : `${tokens} tokens of its own in the answer`;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMicroseconds,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function toMicroseconds(start: number): number {
  return Math.max(1, Math.round((performance.now() - start) * 1000));
}
