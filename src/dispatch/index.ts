export { choosePreferredTargets, type GatewayPosition } from './head-subset.js';
export {
  TargetChooser,
  type Target,
  type TargetChoice,
  type TargetChooserOptions,
  type TargetCriteria,
} from './target.js';
export { TargetLoads, type UpstreamLoad } from './target-loads.js';
export type { UpstreamAvailability, UpstreamPermits } from './upstream-permission.js';
