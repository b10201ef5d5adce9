export { HostDirectory, type HostReport, type ReportedHost } from './host-directory.js';
export { decodeReport, encodeReport } from './report-codec.js';
