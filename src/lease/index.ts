export { driftMargin, type LeaseAnswer, type LeaseQuestion } from './messages.js';
