import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { Logger } from 'pino';

import type { Clock, ManagedPart, Milliseconds } from '../../common/index.js';
import {
  ConsensusService,
  type ForwardReportsRequest,
  type HostReport as HostReportMessage,
  ReportResponseSchema,
  type ReportResponse,
  type WatcherState,
} from '../../generated/pistachiospoke/v1/control_pb.js';
import type { HostName } from '../../model/index.js';
import type { RpcClientPool } from '../../wire/index.js';
import type { HostDirectory, HostReport, ReportVerdict } from '../host-directory.js';
import { decodeWatcher, encodeWatcher, type WatcherDirectory } from '../watcher-directory.js';
import { decodeReport, encodeReport } from '../report-codec.js';

/**
 * Receives the reports of sidecars and forwards them to the other control hosts, so that a sidecar may report to any control host and
 * a new leader already knows the hosts.
 */

const forwardInterval: Milliseconds = 500;
const forwardTimeout: Milliseconds = 2000;

/** Options of the report service. */
export interface ReportServiceOptions {
  readonly name: string;
  /** Addresses of the other control hosts. */
  readonly peers: () => readonly string[];
  readonly directory: HostDirectory;
  readonly watchers: WatcherDirectory;
  /** Names of the gateways with an open watch on this control host. */
  readonly listConnectedGateways: () => readonly string[];
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each report that may affect placement or what watchers see, with the control host that received it. */
  readonly onReport: (report: HostReport, via: string) => void;
  /** Called with the result of each report. */
  readonly onVerdict: (verdict: ReportVerdict) => void;
  /** Called when the stream of a host ends without a leaving report. */
  readonly onClosed: (host: HostName) => void;
}

/** Reports received here that are waiting to be forwarded to one peer. */
interface Outbox {
  readonly reports: Map<HostName, HostReport>;
  isSending: boolean;
}

export class ReportService implements ManagedPart {
  readonly name = 'report service';
  readonly #options: ReportServiceOptions;
  readonly #outboxes = new Map<string, Outbox>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ReportServiceOptions) {
    this.#options = options;
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.#forwardAll();
    }, forwardInterval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Handles the stream of one sidecar until it ends; answers each accepted report. */
  async *handleStream(messages: AsyncIterable<HostReportMessage>): AsyncGenerator<ReportResponse> {
    let last: HostReport | undefined;
    try {
      for await (const message of messages) {
        last = decodeReport(message);
        const verdict = this.#handleReport(last, this.#options.name);
        if (verdict === 'factsMissing') {
          // A sidecar sends its facts first on every stream, so reconnecting supplies the missing facts.
          throw new ConnectError('facts of this host are not known here', Code.FailedPrecondition);
        }
        if (verdict === 'taken') {
          this.#enqueue(last);
        }
        yield create(ReportResponseSchema);
      }
    } finally {
      if (last?.isLeaving === false) {
        this.#options.onClosed(last.host);
      }
    }
  }

  /** Handles reports forwarded by another control host; returns the hosts whose facts are missing here. */
  handleForwarded(request: ForwardReportsRequest): readonly HostName[] {
    for (const watcher of request.watchers) {
      this.#options.watchers.recordForwarded(decodeWatcher(watcher, request.from), this.#now());
    }
    return request.reports
      .map(decodeReport)
      .filter((report) => this.#handleReport(report, request.from) === 'factsMissing')
      .map((report) => report.host);
  }

  /** Handles an acknowledgement from a gateway of its active revision. */
  handleAcknowledgement(watcher: WatcherState): void {
    this.#options.watchers.record(decodeWatcher(watcher, this.#options.name), this.#now());
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }

  #handleReport(report: HostReport, via: string): ReportVerdict {
    const { directory, onReport, onVerdict } = this.#options;
    const verdict = directory.record(report, this.#now());
    onVerdict(verdict);
    if (verdict === 'taken') {
      onReport(report, via);
    }
    return verdict;
  }

  #enqueue(report: HostReport): void {
    for (const peer of this.#options.peers()) {
      const outbox = this.#findOutbox(peer);
      const facts = report.facts ?? outbox.reports.get(report.host)?.facts;
      outbox.reports.set(report.host, { ...report, facts });
    }
  }

  #findOutbox(peer: string): Outbox {
    const known = this.#outboxes.get(peer);
    if (known !== undefined) {
      return known;
    }
    const outbox = { reports: new Map<HostName, HostReport>(), isSending: false };
    this.#outboxes.set(peer, outbox);
    return outbox;
  }

  #forwardAll(): void {
    for (const peer of this.#options.peers()) {
      void this.#forward(peer, this.#findOutbox(peer));
    }
  }

  async #forward(peer: string, outbox: Outbox): Promise<void> {
    if (outbox.isSending) {
      return;
    }
    const watchers = this.#options.watchers
      .listStates(this.#options.listConnectedGateways())
      .map(encodeWatcher);
    if (outbox.reports.size === 0 && watchers.length === 0) {
      return;
    }
    const reports = [...outbox.reports.values()];
    outbox.reports.clear();
    outbox.isSending = true;
    const { clients, name, logger } = this.#options;
    try {
      const response = await clients
        .client(ConsensusService, peer)
        .forwardReports(
          { from: name, reports: reports.map(encodeReport), watchers },
          { timeoutMs: forwardTimeout },
        );
      this.#enqueueFacts(outbox, response.missingFacts);
    } catch (error) {
      logger.debug({ peer, error: String(error) }, 'reports could not be forwarded');
      this.#enqueueFacts(
        outbox,
        reports.filter((report) => report.facts !== undefined).map((report) => report.host),
      );
    } finally {
      outbox.isSending = false;
    }
  }

  /** Queues lost facts for the next batch. Without them, heartbeats of these hosts would be rejected forever. */
  #enqueueFacts(outbox: Outbox, hosts: readonly HostName[]): void {
    for (const host of hosts) {
      const known = this.#options.directory.read().get(host);
      if (known === undefined) {
        continue;
      }
      const { facts, configurationRevision, groups, sequence, factsSequence } = known;
      const report: HostReport = {
        host,
        incarnation: facts.incarnation,
        facts,
        configurationRevision,
        groups,
        isDraining: facts.isDraining,
        isLeaving: false,
        sequence,
        factsSequence,
        ...outbox.reports.get(host),
      };
      outbox.reports.set(host, { ...report, facts });
    }
  }
}
