export { createAnnounceServer } from './announce-server.js';
export { announcementSchema, type Announcement } from './announcement.js';
export {
  announcementTimeout as announcementLimit,
  UpstreamMonitor,
  type UpstreamState,
} from './upstream-monitor.js';
