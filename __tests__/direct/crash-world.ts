import type { Milliseconds, RandomSource } from '../../src/common/index.js';
import {
  applyCommand,
  decodeSnapshot,
  encodeSnapshot,
  initialControlState,
  type ControlState,
} from '../../src/control/state/index.js';
import {
  CrashLedger,
  type PendingCrashes,
  type TrialDecisions,
  type TrialRequest,
} from '../../src/gateway/crashes/index.js';
import { formatSegmentSubject, hasTrial, listQuarantined } from '../../src/routing/index.js';

/** Simulates gateways with crash ledgers, the replicated state of control, and upstreams that crash, on one virtual clock. */

export const tick: Milliseconds = 10;
const maximumAttempts = 2;
const reportInterval: Milliseconds = 100;
/** Upper bound on the delay of a message between a gateway and control. */
const longestMessageDelay: Milliseconds = 50;
const restartDuration: Milliseconds = 3000;
/** Longest wait of a request for control to record a crash, and the interval at which the gateway looks. */
const maximumWait: Milliseconds = 1800;
const retryInterval: Milliseconds = 50;
/** Time from the start of a crashing request to the crash. */
const crashDelay: Milliseconds = 50;

/** Crashes every upstream that runs it. */
export const crashingRequest = 'crashing';

interface SimulatedRequest {
  readonly request: string;
  /** Segments of its prompt that other requests share. */
  readonly segments: readonly string[];
}

interface RunningRequest extends SimulatedRequest {
  readonly gateway: SimulatedGateway;
  readonly attempt: number;
  readonly isOnTrial: boolean;
  readonly endsAt: Milliseconds;
}

class SimulatedUpstream {
  starts = 1;
  running: RunningRequest[] = [];
  availableAt: Milliseconds = 0;
  readonly #name: string;

  constructor(name: string) {
    this.#name = name;
  }

  get start(): string {
    return `${this.#name}@${this.starts}`;
  }
}

class SimulatedGateway {
  ledger: CrashLedger;
  readonly sends: (SimulatedRequest & { readonly at: Milliseconds })[] = [];
  readonly rejected: string[] = [];
  readonly rejections: (SimulatedRequest & { readonly at: Milliseconds })[] = [];
  readonly answers: (SimulatedRequest & { readonly at: Milliseconds })[] = [];
  isCut = false;
  isReporting = false;
  readonly #name: string;
  #starts = 1;

  constructor(name: string) {
    this.#name = name;
    this.ledger = new CrashLedger(`${name}@1`);
  }

  /** Starts again without any memory, with the quarantines that control knows of. */
  restart(quarantined: ReadonlySet<string>, now: Milliseconds): void {
    this.#starts += 1;
    this.ledger = new CrashLedger(`${this.#name}@${this.#starts}`);
    this.ledger.startWith(quarantined, now);
    this.isReporting = false;
  }
}

interface ScheduledCallback {
  readonly at: Milliseconds;
  readonly run: () => void;
}

export class CrashWorld {
  now: Milliseconds = 0;
  readonly gateways: readonly SimulatedGateway[];
  readonly upstreams: readonly SimulatedUpstream[];
  /** Crashes caused by a crashing request, with the gateway that sent it. */
  readonly crashes: (SimulatedRequest & {
    readonly at: Milliseconds;
    readonly gateway: SimulatedGateway;
  })[] = [];
  /** Segments that crash every upstream that begins to answer a prompt with them. */
  readonly crashingSegments = new Set<string>();
  isLeaderless = false;
  readonly #random: RandomSource;
  #state = initialControlState;
  #scheduled: ScheduledCallback[] = [];

  constructor(random: RandomSource, gatewayCount: number, upstreamCount: number) {
    this.#random = random;
    this.gateways = Array.from(
      { length: gatewayCount },
      (_, index) => new SimulatedGateway(`gateway-${index}`),
    );
    this.upstreams = Array.from(
      { length: upstreamCount },
      (_, index) => new SimulatedUpstream(`i-${index}`),
    );
  }

  /** Sends a request through a random gateway. */
  submit(request: string, segments: readonly string[] = []): void {
    const gateway = this.gateways[this.#random.integerBelow(this.gateways.length)];
    if (gateway !== undefined) {
      this.#send({ request, segments }, gateway, 1);
    }
  }

  get suspects(): ControlState['routing']['suspects'] {
    return this.#state.routing.suspects;
  }

  /** Kills a gateway with the requests that it has in flight, and starts it again. */
  restartGateway(gateway: SimulatedGateway): void {
    for (const upstream of this.upstreams) {
      upstream.running = upstream.running.filter((each) => each.gateway !== gateway);
    }
    gateway.restart(listQuarantined(this.suspects), this.now);
  }

  /** Control restarts from a snapshot of its state. */
  restartControl(): void {
    this.#state = decodeSnapshot(encodeSnapshot(this.#state));
  }

  crash(upstream: SimulatedUpstream): void {
    const { running, start } = upstream;
    upstream.running = [];
    upstream.starts += 1;
    upstream.availableAt = this.now + restartDuration;
    for (const gateway of new Set(running.map((each) => each.gateway))) {
      const own = running.filter((each) => each.gateway === gateway);
      this.#schedule(20, () => {
        gateway.ledger.noteCrash(start, own.flatMap(listSubjects), this.now);
      });
    }
    for (const { request, segments, gateway, attempt } of running) {
      if (attempt < maximumAttempts) {
        this.#send({ request, segments }, gateway, attempt + 1);
      }
    }
  }

  step(): void {
    this.now += tick;
    const due = this.#scheduled.filter(({ at }) => at <= this.now);
    this.#scheduled = this.#scheduled.filter(({ at }) => at > this.now);
    due.forEach(({ run }) => {
      run();
    });
    for (const upstream of this.upstreams) {
      this.#serve(upstream);
    }
    if (this.now % reportInterval === 0) {
      this.gateways.forEach((gateway) => {
        this.#report(gateway);
      });
    }
  }

  #send(
    request: SimulatedRequest,
    gateway: SimulatedGateway,
    attempt: number,
    waitingSince = this.now,
    earlierTrial?: string,
  ): void {
    const subjects = listSubjects(request);
    const { ledger } = gateway;
    const trial =
      earlierTrial ??
      (attempt === 1 && ledger.assess(subjects, this.now) === 'quarantined'
        ? ledger.askForTrial(subjects, this.now)
        : undefined);
    const assessment = ledger.assess(subjects, this.now, trial);
    const isHeld = assessment === 'unrecorded' && attempt === 1;
    if (isHeld && this.now - waitingSince < maximumWait) {
      this.#schedule(retryInterval, () => {
        this.#send(request, gateway, attempt, waitingSince, trial);
      });
      return;
    }
    if (isHeld || assessment === 'quarantined') {
      this.#abandonTrial(ledger, trial);
      gateway.rejected.push(request.request);
      gateway.rejections.push({ ...request, at: this.now });
      return;
    }
    const up = this.upstreams.filter(({ availableAt }) => availableAt <= this.now);
    const upstream = up[this.#random.integerBelow(Math.max(1, up.length))];
    if (upstream === undefined) {
      this.#abandonTrial(ledger, trial);
      return;
    }
    const isOnTrial = trial !== undefined && ledger.useTrial(trial, this.now);
    gateway.sends.push({ ...request, at: this.now });
    const duration = this.#isCrashing(request) ? crashDelay : 100 + this.#random.integerBelow(900);
    upstream.running.push({ ...request, gateway, attempt, isOnTrial, endsAt: this.now + duration });
  }

  #abandonTrial(ledger: CrashLedger, trial: string | undefined): void {
    if (trial !== undefined) {
      ledger.abandonTrial(trial);
    }
  }

  #serve(upstream: SimulatedUpstream): void {
    const done = upstream.running.filter(({ endsAt }) => endsAt <= this.now);
    const cause = done.find((request) => this.#isCrashing(request));
    if (cause !== undefined) {
      const { request, segments, gateway } = cause;
      this.crashes.push({ request, segments, at: this.now, gateway });
      this.crash(upstream);
      return;
    }
    upstream.running = upstream.running.filter(({ endsAt }) => endsAt > this.now);
    for (const { request, segments, gateway, isOnTrial } of done) {
      gateway.ledger.noteAnswered(listSubjects({ request, segments }), this.now, isOnTrial);
      gateway.answers.push({ request, segments, at: this.now });
    }
  }

  #isCrashing({ request, segments }: SimulatedRequest): boolean {
    return (
      request === crashingRequest || segments.some((segment) => this.crashingSegments.has(segment))
    );
  }

  #report(gateway: SimulatedGateway): void {
    const { ledger } = gateway;
    const pending = gateway.isReporting ? undefined : ledger.takePending();
    if (pending === undefined) {
      return;
    }
    gateway.isReporting = true;
    this.#schedule(this.#random.integerBelow(longestMessageDelay), () => {
      if (ledger !== gateway.ledger) {
        return;
      }
      gateway.isReporting = false;
      if (this.isLeaderless || gateway.isCut) {
        ledger.restorePending(pending);
        return;
      }
      this.#commit(pending);
      ledger.noteRecorded(pending, this.#decideTrials(pending), this.now);
    });
  }

  #decideTrials({ trials }: PendingCrashes): TrialDecisions {
    const isGranted = ({ subjects, token }: TrialRequest): boolean => {
      return subjects.some((subject) => hasTrial(this.suspects.get(subject), token));
    };
    return {
      granted: trials.filter(isGranted).map(({ token }) => token),
      refused: trials
        .filter((trial) => !isGranted(trial))
        .flatMap(({ subjects }) => subjects)
        .map((subject) => ({ subject, retryAfterMilliseconds: 0 })),
    };
  }

  #commit({ crashes, answered, trials, returned }: PendingCrashes): void {
    const command = {
      type: 'noteCrashes',
      at: this.now,
      crashes: crashes.map(({ upstream, requests }) => ({ upstream, requests: [...requests] })),
      answered: [...answered],
      trials: [...trials],
      returned: [...returned],
    } as const;
    this.#state = applyCommand(this.#state, command).state;
    for (const gateway of this.gateways) {
      this.#publishTo(gateway);
    }
  }

  /** Delivers the latest state to a gateway; if it is cut off, retries until it is reconnected. */
  #publishTo(gateway: SimulatedGateway): void {
    this.#schedule(this.#random.integerBelow(longestMessageDelay), () => {
      if (gateway.isCut) {
        this.#publishTo(gateway);
        return;
      }
      gateway.ledger.setQuarantined(listQuarantined(this.suspects), this.now);
    });
  }

  #schedule(delay: Milliseconds, run: () => void): void {
    this.#scheduled.push({ at: this.now + Math.max(tick, delay), run });
  }
}

/** Segments are distinguished from contents as those of one service. */
function listSubjects({ request, segments }: SimulatedRequest): readonly string[] {
  return [request, ...segments.map((segment) => formatSegmentSubject('engines', segment))];
}
