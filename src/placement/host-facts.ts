import {
  isArtifactCovered,
  isSelected,
  type Artifact,
  type GroupDeclaration,
  type Offer,
} from '../model/index.js';
import type { PlacementHost } from './types.js';

/** Whether the host can serve now: present, not quarantined, and with a healthy upstream. */
export function isUsable(host: PlacementHost): boolean {
  return host.availability.type === 'present' && host.facts.isHealthy;
}

/** Whether the declaration selects the host for its groups. */
export function isMeantFor(host: PlacementHost, declaration: GroupDeclaration): boolean {
  return (
    host.facts.upstream?.type === 'engine' &&
    !host.facts.isDraining &&
    isSelected(host.facts.labels, declaration.hosts)
  );
}

/**
 * Whether the declaration still selects a host that is already placed in one of its groups.
 * A restarted sidecar reports before its upstream has announced itself again. Treating the missing upstream as a
 * different kind of upstream would drain a group although the configuration has not changed.
 */
export function isStillMeantFor(host: PlacementHost, declaration: GroupDeclaration): boolean {
  const { upstream, isDraining, labels } = host.facts;
  const isEngine = upstream === undefined || upstream.type === 'engine';
  return isEngine && !isDraining && isSelected(labels, declaration.hosts);
}

/** Whether the host's engine has loaded the artifact. */
export function hasLoaded(host: PlacementHost, artifact: Artifact): boolean {
  const { upstream } = host.facts;
  return upstream?.type === 'engine' && isArtifactCovered(artifact, upstream.loaded);
}

/** Whether the host can serve the offer without loading anything. */
export function isReadyFor(host: PlacementHost, offer: Offer): boolean {
  return offer.type === 'service' || hasLoaded(host, offer.artifact);
}

/** Unique key of the fabric domain; fabric domain names may repeat across regions. */
export function fabricDomainOf(host: PlacementHost): string {
  return `${host.facts.region}/${host.facts.fabricDomain}`;
}

/** Unique key of the failure domain. */
export function failureDomainOf(host: PlacementHost): string {
  return `${host.facts.region}/${host.facts.failureDomain}`;
}
