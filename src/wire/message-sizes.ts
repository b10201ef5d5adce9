/** Follows how much of a message has arrived on a stream of calls, without reading the messages. */

/** A byte of flags and the size of the message. */
const prefixBytes = 5;

/** Receives the bytes of messages without their prefixes. */
export interface MessageListener {
  readonly onBegin: () => void;
  readonly onBytes: (bytes: Buffer) => void;
}

export class MessageSizes {
  readonly #isUnary: boolean;
  readonly #listener: MessageListener | undefined;
  readonly #prefix = Buffer.alloc(prefixBytes);
  #prefixLength = 0;
  /** Bytes of the current message that have not arrived; undefined while its prefix has not arrived. */
  #missing: number | undefined;
  #incompleteBytes = 0;
  #incompletePieces = 0;

  /** `isUnary`: there is one message, without a prefix, which ends with the stream. */
  constructor(isUnary: boolean, listener?: MessageListener) {
    this.#isUnary = isUnary;
    this.#listener = listener;
  }

  /** Bytes that have arrived of a message that is not complete. */
  get incompleteBytes(): number {
    return this.#incompleteBytes;
  }

  /** In how many pieces they have arrived. */
  get incompletePieces(): number {
    return this.#incompletePieces;
  }

  push(bytes: Buffer): void {
    this.#incompletePieces += 1;
    if (this.#isUnary) {
      this.#incompleteBytes += bytes.length;
      this.#listener?.onBytes(bytes);
      return;
    }
    let at = 0;
    while (at < bytes.length) {
      at += this.#missing === undefined ? this.#takePrefix(bytes, at) : this.#takeBody(bytes, at);
    }
  }

  #takePrefix(bytes: Buffer, at: number): number {
    const taken = bytes.copy(this.#prefix, this.#prefixLength, at);
    this.#prefixLength += taken;
    this.#incompleteBytes += taken;
    if (this.#prefixLength === prefixBytes) {
      this.#missing = this.#prefix.readUInt32BE(1);
      this.#listener?.onBegin();
      this.#finishIfComplete();
    }
    return taken;
  }

  #takeBody(bytes: Buffer, at: number): number {
    const missing = this.#missing ?? 0;
    const taken = Math.min(missing, bytes.length - at);
    this.#missing = missing - taken;
    this.#listener?.onBytes(bytes.subarray(at, at + taken));
    this.#incompleteBytes += taken;
    this.#finishIfComplete();
    return taken;
  }

  #finishIfComplete(): void {
    if (this.#missing === 0) {
      this.#missing = undefined;
      this.#prefixLength = 0;
      this.#incompleteBytes = 0;
      this.#incompletePieces = 0;
    }
  }
}
