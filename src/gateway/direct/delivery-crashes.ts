import { digest, type Milliseconds, type ProbeVerdict } from '../../common/index.js';
import type { Target } from '../../dispatch/index.js';
import { formatSegmentSubject, type CrashSubjectKey } from '../../routing/index.js';
import { RequestCrashes, type CrashAssessment } from '../crashes/index.js';
import type { ReceivedRequest, SharedDeliveryDependencies } from './delivery-types.js';

/** Connects one delivery with what its gateway knows of crashes. */

type Dependencies = Pick<
  SharedDeliveryDependencies,
  'crashLedger' | 'crashWatch' | 'onRejectedForCrashes'
>;

export class DeliveryCrashes {
  readonly #request: ReceivedRequest;
  readonly #dependencies: Dependencies;
  readonly #crashes: RequestCrashes;
  /** Computed on first use, as is the digest. */
  #subjects: readonly CrashSubjectKey[] | undefined;
  #digest: string | undefined;

  constructor(request: ReceivedRequest, dependencies: Dependencies) {
    this.#request = request;
    this.#dependencies = dependencies;
    this.#crashes = new RequestCrashes(dependencies.crashLedger, () => this.#listSubjects());
  }

  /** Identifies the content of the request; equal for repeated requests, also at other gateways. */
  get requestDigest(): string {
    const { account, method, path, body } = this.#request;
    this.#digest ??= digest([account?.name ?? '', method, path, body]);
    return this.#digest;
  }

  /** The quarantined subjects that the current attempt was sent for; empty if it is no trial. */
  get subjectsOnTrial(): readonly CrashSubjectKey[] {
    return this.#crashes.subjectsOnTrial;
  }

  assess(now: Milliseconds, isUnsent: boolean): CrashAssessment {
    return this.#crashes.assess(now, isUnsent);
  }

  noteSent(now: Milliseconds): void {
    this.#crashes.noteSent(now);
  }

  noteNotRun(now: Milliseconds): void {
    this.#crashes.noteNotRun(now);
  }

  noteOver(): void {
    this.#crashes.noteOver();
  }

  noteAnswered(now: Milliseconds): void {
    this.#crashes.noteAnswered(now);
  }

  /** The target interrupted the request; its crash is recorded if it has ended. */
  noteBroken(target: Target): void {
    this.#dependencies.crashWatch.noteBroken(target, this.#listSubjects());
  }

  /** Tells whether the target still runs after a response that only the end of its connection delimits. */
  confirmEnd(target: Target, isFailure: boolean): Promise<ProbeVerdict> {
    return this.#dependencies.crashWatch.confirmEnd(target, isFailure ? [] : this.#listSubjects());
  }

  /** The request is rejected; returns the quarantined subjects that are the reason. */
  noteRejected(now: Milliseconds): readonly CrashSubjectKey[] {
    const subjects = this.#crashes.listQuarantined(now);
    this.#dependencies.onRejectedForCrashes(subjects);
    return subjects;
  }

  #listSubjects(): readonly CrashSubjectKey[] {
    const { service, promptSegments } = this.#request;
    this.#subjects ??= [
      this.requestDigest,
      ...promptSegments.map((segment) => formatSegmentSubject(service.name, segment)),
    ];
    return this.#subjects;
  }
}
