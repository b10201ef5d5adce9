import type { ConsensusMessage, NodeName } from './core/index.js';

/** Carries messages between control hosts; may lose, double and reorder them, and must not change them. */
export interface ConsensusTransport {
  readonly open: () => void;
  /** Sends when it can; a message that cannot be sent now is lost, since the core repeats what matters. */
  readonly send: (to: NodeName, message: ConsensusMessage) => void;
  readonly close: () => Promise<void>;
}
