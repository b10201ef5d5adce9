import { z } from 'zod';

/**
 * Status that the local upstream announces by `POST /announce`, about twice a second.
 * docs/UPSTREAMS.md describes the format for authors of upstreams.
 */

const artifact = z
  .strictObject({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()).readonly().default([]),
  })
  .readonly();

const load = z
  .strictObject({
    running: z.int().min(0),
    queued: z.int().min(0),
    capacity: z.int().min(1),
  })
  .readonly();

const common = {
  /** `ip:port` where the upstream accepts requests. */
  address: z.string(),
  isHealthy: z.boolean(),
  load,
};

const engineAnnouncement = z
  .strictObject({
    type: z.literal('engine'),
    ...common,
    checksFencingNumber: z.boolean(),
    loaded: z.array(artifact).readonly(),
  })
  .readonly();

const serviceAnnouncement = z
  .strictObject({ type: z.literal('service'), ...common, service: z.string() })
  .readonly();

export const announcementSchema = z.discriminatedUnion('type', [
  engineAnnouncement,
  serviceAnnouncement,
]);

export type Announcement = z.infer<typeof announcementSchema>;
