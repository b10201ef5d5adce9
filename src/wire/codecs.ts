import { create } from '@bufbuild/protobuf';

import {
  ArtifactSchema,
  GroupMemberSchema,
  GroupSchema,
  LabelSchema,
  UpstreamSchema,
  type Artifact as ArtifactMessage,
  type Group as GroupMessage,
  type Upstream as UpstreamMessage,
} from '../generated/pistachiospoke/v1/common_pb.js';
import {
  GroupHealthSchema,
  HostFactsSchema,
  type GroupHealth as GroupHealthMessage,
  type HostFacts as HostFactsMessage,
} from '../generated/pistachiospoke/v1/control_pb.js';
import { assertNever } from '../common/index.js';
import type {
  Artifact,
  Group,
  GroupHealth,
  HostFacts,
  HostName,
  Incarnation,
  Offer,
  Upstream,
  WatchedGroup,
} from '../model/index.js';

/** Conversion of model types to and from protobuf messages. */

export function encodeGroup(watched: WatchedGroup): GroupMessage {
  const { group } = watched;
  return create(GroupSchema, {
    name: group.name,
    declaration: group.declaration,
    fencingNumber: BigInt(group.fencingNumber),
    members: group.members.map((member) => create(GroupMemberSchema, { ...member })),
    lead: group.members[0]?.host ?? '',
    draining: group.isDraining,
    serving: watched.isServing,
    ...(group.offer.type === 'model'
      ? { artifact: encodeArtifact(group.offer.artifact) }
      : { service: group.offer.service }),
  });
}

export function decodeGroup(message: GroupMessage): WatchedGroup {
  const group: Group = {
    name: message.name,
    declaration: message.declaration,
    fencingNumber: Number(message.fencingNumber),
    members: message.members.map(({ host, address, incarnation }) => ({
      host,
      address,
      incarnation,
    })),
    offer: decodeOffer(message),
    isDraining: message.draining,
  };
  return { group, isServing: message.serving };
}

export function encodeArtifact(artifact: Artifact): ArtifactMessage {
  return create(ArtifactSchema, { ...artifact, adapters: [...artifact.adapters] });
}

export function decodeArtifact(message: ArtifactMessage): Artifact {
  return { model: message.model, version: message.version, adapters: [...message.adapters] };
}

export function encodeHostFacts(facts: HostFacts): HostFactsMessage {
  const { upstream } = facts;
  return create(HostFactsSchema, {
    address: facts.address,
    region: facts.region,
    failureDomain: facts.failureDomain,
    fabricDomain: facts.fabricDomain,
    accelerators: facts.accelerators,
    labels: Object.entries(facts.labels).map(([key, value]) => create(LabelSchema, { key, value })),
    healthy: facts.isHealthy,
    ...(upstream === undefined ? {} : { upstream: encodeUpstream(upstream) }),
  });
}

/** The name, incarnation and draining flag of the host are not part of the message; the enclosing report carries them. */
export function decodeHostFacts(
  message: HostFactsMessage,
  host: HostName,
  incarnation: Incarnation,
  isDraining: boolean,
): HostFacts {
  return {
    host,
    incarnation,
    address: message.address,
    region: message.region,
    failureDomain: message.failureDomain,
    fabricDomain: message.fabricDomain,
    accelerators: message.accelerators,
    labels: Object.fromEntries(message.labels.map(({ key, value }) => [key, value])),
    upstream: message.upstream === undefined ? undefined : decodeUpstream(message.upstream),
    isHealthy: message.healthy,
    isDraining,
  };
}

export function encodeGroupHealth(health: GroupHealth): GroupHealthMessage {
  return create(GroupHealthSchema, {
    group: health.group,
    fencingNumber: BigInt(health.fencingNumber),
    serving: health.isServing,
    drained: health.isDrained,
    missing: [...health.missing],
  });
}

export function decodeGroupHealth(message: GroupHealthMessage): GroupHealth {
  return {
    group: message.group,
    fencingNumber: Number(message.fencingNumber),
    isServing: message.serving,
    isDrained: message.drained,
    missing: [...message.missing],
  };
}

function decodeOffer(message: GroupMessage): Offer {
  if (message.artifact !== undefined) {
    return { type: 'model', artifact: decodeArtifact(message.artifact) };
  }
  return { type: 'service', service: message.service };
}

function encodeUpstream(upstream: Upstream): UpstreamMessage {
  switch (upstream.type) {
    case 'engine': {
      const value = {
        loaded: upstream.loaded.map(encodeArtifact),
        checksFencingNumber: upstream.checksFencingNumber,
      };
      return create(UpstreamSchema, { kind: { case: 'engine', value } });
    }
    case 'service': {
      const value = { service: upstream.service };
      return create(UpstreamSchema, { kind: { case: 'service', value } });
    }
    default:
      return assertNever(upstream);
  }
}

function decodeUpstream(message: UpstreamMessage): Upstream | undefined {
  switch (message.kind.case) {
    case 'engine':
      return {
        type: 'engine',
        loaded: message.kind.value.loaded.map(decodeArtifact),
        checksFencingNumber: message.kind.value.checksFencingNumber,
      };
    case 'service':
      return { type: 'service', service: message.kind.value.service };
    case undefined:
      return undefined;
    default:
      return assertNever(message.kind);
  }
}
