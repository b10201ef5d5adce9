export { createAnnounceServer } from './announce-server.js';
export { announcementSchema, type Announcement } from './announcement.js';
export { announcementLimit, UpstreamMonitor, type UpstreamState } from './upstream-monitor.js';
