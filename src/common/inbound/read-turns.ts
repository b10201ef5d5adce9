import type { Socket } from 'node:net';

/**
 * Lets clients that send tiny pieces be read one at a time. A piece costs about the same however small it is, so a few such clients
 * would take all processor time, and new connections would be closed unread.
 */

/** A smaller piece costs more for itself than for its bytes. */
const tinyBytes = 256;
/** Tiny pieces after which a client waits for its turn; one read has up to some ten thousand, and ordinary clients send a few. */
const piecesPerTurn = 256;

/** Clients that wait, over all ports of the process: they share its processor time. */
const waiting: ReadTurns[] = [];

/** The turns of one client. */
export class ReadTurns {
  readonly #socket: Socket;
  #pieces = 0;
  #isWaiting = false;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  notePiece(bytes: number): void {
    if (bytes >= tinyBytes || this.#isWaiting) {
      return;
    }
    this.#pieces += 1;
    if (this.#pieces >= piecesPerTurn) {
      this.#wait();
    }
  }

  /** The client may be read again. */
  proceed(): void {
    if (this.#isWaiting) {
      this.#isWaiting = false;
      this.#pieces = 0;
      this.#socket.off('resume', this.#pause);
      this.#socket.resume();
    }
  }

  #wait(): void {
    this.#isWaiting = true;
    // Node resumes a socket whenever the reader of a body can take more.
    this.#socket.on('resume', this.#pause);
    this.#socket.pause();
    waiting.push(this);
    if (waiting.length === 1) {
      setImmediate(giveTurn);
    }
  }

  readonly #pause = (): void => {
    this.#socket.pause();
  };
}

/** One client is read in each turn of the event loop, so that all others are served in between. */
function giveTurn(): void {
  waiting.shift()?.proceed();
  if (waiting.length > 0) {
    setImmediate(giveTurn);
  }
}
