import {
  isArtifactCovered,
  isSelected,
  type Artifact,
  type GroupDeclaration,
  type Offer,
} from '../model/index.js';
import type { PlacementHost } from './types.js';

/** Questions about one host. */

/** Whether the host can work now: there, not held back, its upstream well. */
export function isUsable(host: PlacementHost): boolean {
  return host.availability.type === 'present' && host.facts.isHealthy;
}

/** Whether operators want the host in groups of the declaration. */
export function isMeantFor(host: PlacementHost, declaration: GroupDeclaration): boolean {
  return (
    host.facts.upstream?.type === 'engine' &&
    !host.facts.isDraining &&
    isSelected(host.facts.labels, declaration.hosts)
  );
}

/**
 * Whether operators still want a host in the group that it is placed in.
 * A sidecar that restarted reports before its upstream has announced itself again; taking that for another kind of
 * upstream would drain a group that nobody wants changed.
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

/** Key of the fabric domain; names of fabric domains may repeat in another region. */
export function fabricDomainOf(host: PlacementHost): string {
  return `${host.facts.region}/${host.facts.fabricDomain}`;
}

/** Key of the failure domain. */
export function failureDomainOf(host: PlacementHost): string {
  return `${host.facts.region}/${host.facts.failureDomain}`;
}
