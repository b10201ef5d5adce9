import type { EngineProfile } from '../routing/index.js';
import type { FreeEngine, StagingOrder } from './types.js';

/** Chooses which weights hosts stage beside what they serve. */

/** What staging is decided from. */
export interface StagingInput {
  readonly profile: EngineProfile;
  /** All engines of the service that answer; those in a group with the model of that group as `lastModel`. */
  readonly engines: readonly FreeEngine[];
  /** Models of the groups that engines are members of, by host. */
  readonly groupModels: ReadonlyMap<string, string>;
  readonly hasTraffic: boolean;
  readonly loadsAllowed: number;
  /** Model that engines without any weights load first. */
  readonly neediest: string | undefined;
}

/**
 * An engine that was ready in a group keeps that model at hand, and its host keeps another one staged; so a host that stages
 * the model that it does not serve can change to either in about a second.
 * Before the first request this costs nothing, so every host does it. Afterwards only hosts that have nothing stage at all.
 */
export function chooseStaging(input: StagingInput): readonly StagingOrder[] {
  const { engines, hasTraffic, loadsAllowed } = input;
  const orders = engines.flatMap((engine) => {
    const model = chooseModel(engine, input);
    return model === undefined ? [] : [{ host: engine.member.host, model }];
  });
  return hasTraffic ? orders.slice(0, Math.max(0, loadsAllowed)) : orders;
}

function chooseModel(engine: FreeEngine, input: StagingInput): string | undefined {
  const { reading, lastModel, member } = engine;
  const { models } = input.profile;
  if (reading.isBusy) {
    return undefined;
  }
  const groupModel = input.groupModels.get(member.host);
  if (groupModel !== undefined && lastModel !== groupModel) {
    // It has yet to join; staging another model now would take the weights away that it needs for that.
    return undefined;
  }
  if (lastModel === undefined) {
    return reading.staged.length === 0 ? input.neediest : undefined;
  }
  const others = models.filter(({ name }) => name !== lastModel);
  const hasOther = others.some(({ name }) => reading.staged.includes(name));
  const mayStage = !input.hasTraffic || reading.staged.length === 0;
  return hasOther || !mayStage ? undefined : others[0]?.name;
}
