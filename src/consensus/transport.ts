import type { ConsensusMessage, NodeName } from './core/index.js';

/** Carries messages between control hosts. It may lose, duplicate and reorder messages, but must not alter them. */
export interface ConsensusTransport {
  readonly open: () => void;
  /** Sends the message if possible. One that cannot be sent now is dropped; the core resends what matters. */
  readonly send: (to: NodeName, message: ConsensusMessage) => void;
  readonly close: () => Promise<void>;
}
