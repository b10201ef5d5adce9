export { RequestPermits, type GrantedPermits, type PermitReport } from './request-permits.js';
