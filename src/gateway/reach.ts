import {
  isSelected,
  type Account,
  type Configuration,
  type Group,
  type Offer,
  type AccessPolicy,
  type ServiceName,
  type WatchedState,
} from '../model/index.js';

/** What a caller requests: a model, optionally with a version and an adapter, or a plain service. */
export type RequestedOffer =
  | {
      readonly type: 'model';
      readonly model: string;
      readonly version: string | undefined;
      readonly adapter: string | undefined;
    }
  | { readonly type: 'service'; readonly service: ServiceName };

/** Reads `model`, `model@version`, `model+adapter` or `model@version+adapter`. */
export function parseModelName(name: string): RequestedOffer {
  const [base, adapter] = splitOnce(name, '+');
  const [model, version] = splitOnce(base, '@');
  return { type: 'model', model, version, adapter };
}

/** Whether an offer satisfies a request. */
export function isOffered(offer: Offer, wanted: RequestedOffer): boolean {
  if (offer.type === 'service' || wanted.type === 'service') {
    return (
      offer.type === 'service' && wanted.type === 'service' && offer.service === wanted.service
    );
  }
  const { artifact } = offer;
  return (
    artifact.model === wanted.model &&
    (wanted.version === undefined || artifact.version === wanted.version) &&
    (wanted.adapter === undefined || artifact.adapters.includes(wanted.adapter))
  );
}

/** Whether the declaration that a group belongs to lets the account reach it. */
export function isReachable(group: Group, account: Account, configuration: Configuration): boolean {
  const reach = findReach(group, configuration);
  if (reach === undefined) {
    return false;
  }
  const isListed = account.service !== undefined && reach.services.includes(account.service);
  return isListed || isSelected(account.labels, reach.accounts);
}

/** Sorted names of the models and adapters that an account may request. */
export function listModelNames(state: WatchedState, account: Account): readonly string[] {
  const names = new Set<string>();
  for (const { group } of state.groups.values()) {
    if (group.offer.type === 'model' && isReachable(group, account, state.configuration)) {
      const { model, adapters } = group.offer.artifact;
      names.add(model);
      adapters.forEach((adapter) => names.add(`${model}+${adapter}`));
    }
  }
  return [...names].sort();
}

function findReach(group: Group, configuration: Configuration): AccessPolicy | undefined {
  const { offer } = group;
  const declarations =
    offer.type === 'service'
      ? configuration.services.filter((service) => service.name === offer.service)
      : configuration.groups.filter((declaration) => declaration.name === group.declaration);
  return declarations[0]?.reachableBy;
}

function splitOnce(text: string, separator: string): readonly [string, string | undefined] {
  const at = text.indexOf(separator);
  return at < 0 ? [text, undefined] : [text.slice(0, at), text.slice(at + 1)];
}
