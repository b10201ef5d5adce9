export type { LeadershipView, ReplicatedLog, StateMachine } from './replicated-log.js';
