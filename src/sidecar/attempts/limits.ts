import type { Milliseconds } from '../../common/index.js';
import { defaultAdmissionLimits, type AdmissionLimits } from './admission-controller.js';
import { defaultRegistryLimits, type RegistryLimits } from './attempt-registry.js';

/** Times and bounds of the attempts at one sidecar. */
export interface AttemptLimits {
  readonly admission: AdmissionLimits;
  readonly registry: RegistryLimits;
  /** Bytes of a running answer kept for taking it up again. */
  readonly resumeBytes: number;
  /** Silence after which a keep-alive is sent. */
  readonly keepAliveInterval: Milliseconds;
  /** How long an attempt goes on when nobody listens to it any more. */
  readonly detachedGrace: Milliseconds;
}

/** Keep-alives four times a second let a gateway notice silence within a second. */
export const defaultAttemptLimits: AttemptLimits = {
  admission: defaultAdmissionLimits,
  registry: defaultRegistryLimits,
  resumeBytes: 1024 * 1024,
  keepAliveInterval: 250,
  detachedGrace: 10_000,
};
