import { findLead, isSelected, type Group, type ServiceDeclaration } from '../model/index.js';
import { isUsable } from './host-facts.js';
import type { PlacementHost } from './types.js';
import { toMember, type WorkingPlan } from './working-plan.js';

/** Placement of plain services: each upstream forms a group of one host. */

/** Places upstreams that are in no group, and drains or dissolves groups that are no longer declared. */
export function placeServices(plan: WorkingPlan): void {
  const declarations = new Map(
    plan.input.configuration.services.map((declaration) => [declaration.name, declaration]),
  );
  reviewServices(plan, declarations);
  for (const host of plan.listFreeHosts()) {
    const { upstream } = host.facts;
    const declaration =
      upstream?.type === 'service' ? declarations.get(upstream.service) : undefined;
    if (declaration !== undefined && isOffering(host, declaration)) {
      const name = plan.nextGroupName(declaration.name);
      plan.place(
        {
          name,
          declaration: declaration.name,
          members: [toMember(host)],
          offer: { type: 'service', service: declaration.name },
        },
        [host],
      );
      plan.addNote({ type: 'formed', group: name });
    }
  }
}

function reviewServices(
  plan: WorkingPlan,
  declarations: ReadonlyMap<string, ServiceDeclaration>,
): void {
  for (const { group, health } of plan.input.groups) {
    if (group.offer.type !== 'service') {
      continue;
    }
    const host = plan.hosts.get(group.members[0]?.host ?? '');
    const declaration = declarations.get(group.offer.service);
    if (host === undefined || host.availability.type === 'gone' || health?.isDrained === true) {
      plan.dissolve(group.name);
    } else if (group.isDraining) {
      // The attempts of the previous incarnation ended with it, and no later one will report the drain as finished.
      if (isPlacementOutdated(host, group)) {
        plan.dissolve(group.name);
      }
    } else if (declaration === undefined || !isStillOffering(host, declaration)) {
      plan.drain(group);
    } else if (isPlacementOutdated(host, group) && isUsable(host)) {
      const { name, declaration: declarationName, offer } = group;
      plan.place({ name, declaration: declarationName, members: [toMember(host)], offer }, [host]);
      plan.addNote({ type: 'renewed', group: name });
    }
  }
}

function isOffering(host: PlacementHost, declaration: ServiceDeclaration): boolean {
  const { upstream, isDraining, labels } = host.facts;
  const isOffered = upstream?.type === 'service' && upstream.service === declaration.name;
  return isOffered && !isDraining && isSelected(labels, declaration.hosts);
}

/** A restarted sidecar reports before its upstream has announced itself again, so a missing upstream does not count as a change. */
function isStillOffering(host: PlacementHost, declaration: ServiceDeclaration): boolean {
  const { upstream, isDraining, labels } = host.facts;
  if (upstream !== undefined) {
    return isOffering(host, declaration);
  }
  return !isDraining && isSelected(labels, declaration.hosts);
}

/** Whether the host has a new address or incarnation; a restarted sidecar leads under its new incarnation only. */
function isPlacementOutdated({ facts }: PlacementHost, group: Group): boolean {
  const lead = findLead(group);
  return facts.address !== lead.address || facts.incarnation !== lead.incarnation;
}
