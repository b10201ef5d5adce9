/** Distinguishes the loss of many hosts from the isolation of the control host that monitors them. */

/** If at least this share of the hosts is silent, in more than one failure domain, this control host is probably isolated. */
const isolationShare = 0.5;
/** With fewer silent hosts than this, a share is not significant. */
const minimumHosts = 3;

/** What this control host observes of one host. */
export interface HostObservation {
  readonly failureDomain: string;
  /** The control host that received its last report. */
  readonly relay: string;
  readonly isSilent: boolean;
}

/** Conclusions from the observations of all hosts. */
export interface IsolationAssessment {
  /** This control host may be isolated from the hosts, so it must not act on losses. */
  readonly isIsolationSuspected: boolean;
  /** Control hosts whose hosts are all silent while others' are not: these hosts are likely to report through another control host soon. */
  readonly suspectedRelays: ReadonlySet<string>;
}

/**
 * Decides whether the hosts that are silent now point to isolation.
 * When a host, rack or failure domain fails, the other hosts still report. When most hosts in several failure domains
 * are silent, or exactly the hosts that report through one control host, a network partition of that control host is more
 * likely. Dissolving groups that still serve would turn the partition into an outage.
 */
export function detectIsolation(observations: readonly HostObservation[]): IsolationAssessment {
  const silent = observations.filter((observation) => observation.isSilent);
  const domains = new Set(silent.map((observation) => observation.failureDomain));
  const isAllSilent = silent.length === observations.length;
  const isMajoritySilent =
    silent.length >= observations.length * isolationShare && domains.size > 1;
  const isIsolationSuspected = silent.length >= minimumHosts && (isAllSilent || isMajoritySilent);
  return {
    isIsolationSuspected,
    suspectedRelays: findSilentRelays(observations, silent),
  };
}

function findSilentRelays(
  observations: readonly HostObservation[],
  silent: readonly HostObservation[],
): ReadonlySet<string> {
  const relays = new Set(silent.map((observation) => observation.relay));
  for (const { relay, isSilent } of observations) {
    if (!isSilent) {
      relays.delete(relay);
    }
  }
  for (const relay of relays) {
    const behind = silent.filter((observation) => observation.relay === relay);
    const isOneDomain = new Set(behind.map((observation) => observation.failureDomain)).size === 1;
    if (behind.length < minimumHosts || isOneDomain) {
      relays.delete(relay);
    }
  }
  return relays;
}
