/** Tells the loss of many hosts from a cut of the control host that watches them. */

/** Silent hosts beyond this share of all, in more than one failure domain, speak against the watcher. */
const suspiciousShare = 0.5;
/** Below this number of hosts a share says nothing. */
const fewestHosts = 3;

/** What one host looks like to the watcher. */
export interface Sighting {
  readonly failureDomain: string;
  /** The control host its last report came in at. */
  readonly via: string;
  readonly isSilent: boolean;
}

/** What a set of sightings says. */
export interface Suspicion {
  /** This control host may be cut off from the hosts: no loss is acted upon. */
  readonly isWatcherSuspected: boolean;
  /** Control hosts all of whose hosts went silent together, while others' did not: those hosts are likely to return through another. */
  readonly suspectedRelays: ReadonlySet<string>;
}

/**
 * Judges the silences of this moment.
 * A failed host, rack or failure domain is silent while the rest is heard. When most hosts are silent across
 * failure domains, or all hosts behind one control host and only those, a cut of the watcher is the likelier cause:
 * dissolving groups that still serve would make an outage of it.
 */
export function judgeSilences(sightings: readonly Sighting[]): Suspicion {
  const silent = sightings.filter((sighting) => sighting.isSilent);
  const domains = new Set(silent.map((sighting) => sighting.failureDomain));
  const isAllSilent = silent.length === sightings.length;
  const isMost = silent.length >= sightings.length * suspiciousShare && domains.size > 1;
  const isWatcherSuspected = silent.length >= fewestHosts && (isAllSilent || isMost);
  return { isWatcherSuspected, suspectedRelays: findSilentRelays(sightings, silent) };
}

function findSilentRelays(
  sightings: readonly Sighting[],
  silent: readonly Sighting[],
): ReadonlySet<string> {
  const relays = new Set(silent.map((sighting) => sighting.via));
  for (const { via, isSilent } of sightings) {
    if (!isSilent) {
      relays.delete(via);
    }
  }
  for (const relay of relays) {
    const behind = silent.filter((sighting) => sighting.via === relay);
    const isOneDomain = new Set(behind.map((sighting) => sighting.failureDomain)).size === 1;
    if (behind.length < fewestHosts || isOneDomain) {
      relays.delete(relay);
    }
  }
  return relays;
}
