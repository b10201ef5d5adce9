import { findLead, isSelected, type Group, type ServiceDeclaration } from '../model/index.js';
import { isUsable } from './host-facts.js';
import type { PlacementHost } from './types.js';
import { toMember, type WorkingPlan } from './working-plan.js';

/** Plain services: each upstream is a group of one host. */

/** Places upstreams that are in no group, and drains or dissolves those that are no longer wanted. */
export function placeServices(plan: WorkingPlan): void {
  const declarations = new Map(
    plan.input.configuration.services.map((declaration) => [declaration.name, declaration]),
  );
  reviewServices(plan, declarations);
  for (const host of plan.findFree()) {
    const { upstream } = host.facts;
    const declaration =
      upstream?.type === 'service' ? declarations.get(upstream.service) : undefined;
    if (declaration !== undefined && isOffering(host, declaration)) {
      const name = plan.nameGroup(declaration.name);
      plan.place(
        {
          name,
          declaration: declaration.name,
          members: [toMember(host)],
          offer: { type: 'service', service: declaration.name },
        },
        [host],
      );
      plan.note({ type: 'formed', group: name });
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
      // What a former start had in flight ended with it, and no later start will say that the drain is over.
      if (hasMoved(host, group)) {
        plan.dissolve(group.name);
      }
    } else if (declaration === undefined || !isStillOffering(host, declaration)) {
      plan.drain(group);
    } else if (hasMoved(host, group) && isUsable(host)) {
      const { name, declaration: declarationName, offer } = group;
      plan.place({ name, declaration: declarationName, members: [toMember(host)], offer }, [host]);
      plan.note({ type: 'renewed', group: name });
    }
  }
}

function isOffering(host: PlacementHost, declaration: ServiceDeclaration): boolean {
  const { upstream, isDraining, labels } = host.facts;
  const isOffered = upstream?.type === 'service' && upstream.service === declaration.name;
  return isOffered && !isDraining && isSelected(labels, declaration.hosts);
}

/** A sidecar that restarted reports before its upstream has announced itself again; that is no change of what it offers. */
function isStillOffering(host: PlacementHost, declaration: ServiceDeclaration): boolean {
  const { upstream, isDraining, labels } = host.facts;
  if (upstream !== undefined) {
    return isOffering(host, declaration);
  }
  return !isDraining && isSelected(labels, declaration.hosts);
}

/** A restarted sidecar leads under its new incarnation only. */
function hasMoved({ facts }: PlacementHost, group: Group): boolean {
  const lead = findLead(group);
  return facts.address !== lead.address || facts.incarnation !== lead.incarnation;
}
