import type { Milliseconds } from '../../common/index.js';
import { defaultAdmissionLimits, type AdmissionLimits } from './admission-controller.js';
import { defaultRegistryLimits, type RegistryLimits } from './attempt-registry.js';

/** Time and memory limits for the attempts of one sidecar. */
export interface AttemptLimits {
  readonly admission: AdmissionLimits;
  readonly registry: RegistryLimits;
  /** Maximum number of response bytes buffered per attempt so that a gateway can resume the stream. */
  readonly resumeBytes: number;
  /** Idle time on a stream after which a keep-alive is sent. */
  readonly keepAliveInterval: Milliseconds;
  /** How long an attempt continues without a subscriber before it is cancelled. */
  readonly detachedGrace: Milliseconds;
}

/** Four keep-alives per second let a gateway detect a silent connection within one second. */
export const defaultAttemptLimits: AttemptLimits = {
  admission: defaultAdmissionLimits,
  registry: defaultRegistryLimits,
  resumeBytes: 1024 * 1024,
  keepAliveInterval: 250,
  detachedGrace: 10_000,
};
