import type { Logger } from 'pino';
import { Counter, type Registry } from 'prom-client';
import { Err, Ok, type Result } from 'ts-results';
import { z } from 'zod';

import {
  RateLimitedLog,
  createFailure,
  parseJson,
  type Clock,
  type Failure,
  type Milliseconds,
} from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import { announcementSchema, formatIdentity, type Announcement } from '../../routing/index.js';
import type { CommandAnswer, ControlState } from '../state/index.js';
import type { CommandProposer } from './command-batcher.js';
import { InstanceRecorder } from './instance-recorder.js';
import { InstanceTracker, type AnnouncementVerdict } from './instance-tracker.js';

/** Handles the announcements of instances on the leader, and refuses those that name no instance on every control host. */

/** Limit for log lines about unusable announcements, since their sender may repeat them many times a second. */
const unusableLogLimit = { burst: 20, perSecond: 1 };
/** Number of characters of an unusable announcement that are logged, enough to identify its sender. */
const maxLoggedCharacters = 200;

export interface InstanceAnnouncementsOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly submitter: CommandProposer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly readState: () => ControlState;
  /** An instance that has not announced itself for this long gets no new requests. */
  readonly instanceSilence: Milliseconds;
  /** Registry for the metrics page. */
  readonly registry: Registry;
  /** Called when an instance in use says for how much longer it stays cold. */
  readonly onCold: (upstream: string, coldFor: Milliseconds) => void;
}

export class InstanceAnnouncements {
  readonly #options: InstanceAnnouncementsOptions;
  readonly #instances = new InstanceTracker();
  readonly #recorder: InstanceRecorder;
  readonly #unusableLog: RateLimitedLog;
  readonly #unusableCount: Counter;

  constructor(options: InstanceAnnouncementsOptions) {
    this.#options = options;
    this.#recorder = new InstanceRecorder(options.submitter);
    this.#unusableLog = new RateLimitedLog(options.logger, options.clock, unusableLogLimit);
    this.#unusableCount = new Counter({
      name: 'pistachiospoke_announcements_unusable_total',
      help: 'Announcements that named no instance to use and changed nothing.',
      registers: [options.registry],
    });
  }

  /** Counts and logs an unusable announcement; returns the failure for its sender. */
  refuse(id: string, reason: string, text: string): Failure {
    this.#unusableCount.inc();
    const fields = {
      id: id.slice(0, maxLoggedCharacters),
      reason,
      text: text.slice(0, maxLoggedCharacters),
    };
    this.#unusableLog.info(fields, 'unusable announcement');
    return createFailure('unusableAnnouncement', reason);
  }

  /** Returns the failure for the sender of an announcement that cannot be recorded in the log; undefined if it can. */
  check(announcement: Announcement): Failure | undefined {
    const parsed = announcementSchema.safeParse(announcement);
    return parsed.success
      ? undefined
      : this.#refuseDecoded(announcement, z.prettifyError(parsed.error));
  }

  /** Handles an announcement that another control host received. */
  async handleForwarded(text: string): Promise<Result<undefined, Failure>> {
    const parsed = announcementSchema.safeParse(parseJson(text));
    if (!parsed.success) {
      return new Err(createFailure('invalidCommand', 'not an announcement'));
    }
    return this.#options.log.view().type === 'leader'
      ? this.handle(parsed.data)
      : new Err(createFailure('noQuorum', 'this control host is not the leader'));
  }

  /** Resolves once the announcement is recorded. */
  async handle(announcement: Announcement): Promise<Result<undefined, Failure>> {
    const { readState, clock, logger } = this.#options;
    const verdict = this.#instances.handleAnnouncement(
      announcement,
      readState().routing,
      clock.monotonic(),
    );
    this.#noteCold(announcement, verdict);
    switch (verdict.type) {
      case 'known':
        return new Ok(undefined);
      case 'retired':
        return new Err(createFailure('retiredInstance', ''));
      case 'unusable':
        return new Err(this.#refuseDecoded(announcement, verdict.reason));
      case 'record':
        logger.info({ announcement }, 'recording instance announcement');
        return this.#recorder.record(verdict.changes);
    }
  }

  /** Removes the instances that have not announced themselves for too long; has no effect on followers. */
  removeSilent(): void {
    const { log, clock, readState, instanceSilence, logger } = this.#options;
    if (log.view().type !== 'leader') {
      return;
    }
    const { routing } = readState();
    const silent = this.#instances.findRemovable(routing, clock.monotonic(), instanceSilence);
    if (silent.length === 0) {
      return;
    }
    logger.warn(
      { silent: silent.map(formatIdentity), instanceSilence },
      'removing silent instances',
    );
    void this.#recorder.record({ present: [], retired: [], silent });
  }

  /** Forgets what this host knew as leader. */
  clear(): void {
    this.#instances.clear();
  }

  #refuseDecoded(announcement: Announcement, reason: string): Failure {
    return this.refuse(findId(announcement), reason, JSON.stringify(announcement));
  }

  #noteCold(announcement: Announcement, verdict: AnnouncementVerdict): void {
    const isUsed = verdict.type === 'known' || verdict.type === 'record';
    if (isUsed && announcement.type === 'present' && announcement.coldFor !== undefined) {
      this.#options.onCold(formatIdentity(announcement.instance), announcement.coldFor);
    }
  }
}

function findId(announcement: Announcement): string {
  return announcement.type === 'present' ? announcement.instance.id : announcement.id;
}
