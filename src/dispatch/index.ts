export {
  Evacuations,
  splitByStanding,
  type DomainStanding,
  type EvacuationChanges,
  type KnownEvacuations,
} from './evacuations.js';
