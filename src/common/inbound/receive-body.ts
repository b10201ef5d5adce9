import type { IncomingMessage, ServerResponse } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { createFailure, type Failure } from '../failure.js';
import { BodyStorage } from './body-storage.js';
import { memoryRetryAfter, type InboundHold, type InboundMemory } from './inbound-memory.js';
import { ReadTurns } from './read-turns.js';

/** Receives the bodies of requests within the memory that a process has for them. */

/** A received body, and the memory that its request holds until its response has been sent or its connection is closed. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly hold: InboundHold;
}

export interface ReceiveOptions {
  readonly memory: InboundMemory;
  readonly maximumBytes: number;
  /** Called with the size so far. */
  readonly onReceived?: (size: number) => void;
}

/** Receives the body of a request. One that is refused has not been read to its end. */
export function receiveBody(
  request: IncomingMessage,
  response: ServerResponse,
  options: ReceiveOptions,
): Promise<Result<ReceivedBody, Failure>> {
  return new Promise((resolve) => {
    new BodyReception(request, response, options, resolve).start();
  });
}

class BodyReception {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #options: ReceiveOptions;
  readonly #finish: (result: Result<ReceivedBody, Failure>) => void;
  readonly #hold: InboundHold | undefined;
  readonly #storage: BodyStorage;
  readonly #turns: ReadTurns;
  readonly #releaseHold = (): void => {
    this.#hold?.release();
  };

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    options: ReceiveOptions,
    finish: (result: Result<ReceivedBody, Failure>) => void,
  ) {
    this.#request = request;
    this.#response = response;
    this.#options = options;
    this.#finish = finish;
    this.#hold = options.memory.open(() => {
      this.#fail(createFailure('bodyStalled', '', memoryRetryAfter));
    });
    this.#turns = new ReadTurns(request.socket);
    this.#storage = new BodyStorage((bytes) => this.#hold?.reserve(bytes) === true);
  }

  start(): void {
    const { maximumBytes } = this.#options;
    const announced = Number(this.#request.headers['content-length'] ?? 0);
    if (announced > maximumBytes) {
      this.#fail(createTooLarge(maximumBytes));
      return;
    }
    if (this.#hold === undefined || (announced > 0 && !this.#storage.allocate(announced))) {
      this.#fail(createMemoryTaken());
      return;
    }
    this.#response.once('close', this.#releaseHold);
    this.#request.on('data', this.#take).once('end', this.#complete).once('close', this.#abort);
    if (this.#request.destroyed) {
      this.#abort();
    }
  }

  readonly #take = (bytes: Buffer): void => {
    const { maximumBytes, onReceived } = this.#options;
    const size = this.#storage.length + bytes.length;
    if (size > maximumBytes) {
      this.#fail(createTooLarge(maximumBytes));
    } else if (!this.#storage.append(bytes)) {
      this.#fail(createMemoryTaken());
    } else {
      this.#hold?.noteReceived(bytes.length);
      this.#turns.notePiece(bytes.length);
      onReceived?.(size);
    }
  };

  readonly #complete = (): void => {
    const hold = this.#hold;
    const bytes = this.#storage.join();
    if (bytes === undefined || hold === undefined) {
      this.#fail(createMemoryTaken());
      return;
    }
    this.#stopListening();
    hold.noteComplete();
    hold.shrinkTo(bytes.buffer.byteLength);
    this.#finish(new Ok({ bytes, hold }));
  };

  readonly #abort = (): void => {
    this.#fail(createFailure('cancelled', 'The caller broke off while it sent the body.'));
  };

  #fail(failure: Failure): void {
    this.#stopListening();
    this.#request.pause();
    this.#storage.clear();
    this.#response.off('close', this.#releaseHold);
    this.#releaseHold();
    this.#finish(new Err(failure));
  }

  #stopListening(): void {
    this.#request.off('data', this.#take).off('end', this.#complete).off('close', this.#abort);
  }
}

function createTooLarge(maximumBytes: number): Failure {
  return createFailure('bodyTooLarge', `At most ${maximumBytes} bytes.`);
}

function createMemoryTaken(): Failure {
  return createFailure('receptionFull', '', memoryRetryAfter);
}
