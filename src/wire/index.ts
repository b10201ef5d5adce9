export {
  decodeArtifact,
  decodeGroup,
  decodeGroupHealth,
  decodeHostFacts,
  encodeArtifact,
  encodeGroup,
  encodeGroupHealth,
  encodeHostFacts,
} from './codecs.js';
export {
  decodeColdAnswer,
  decodeColdReport,
  encodeColdAnswer,
  encodeColdReport,
} from './cold-upstreams.js';
export { compressionThreshold } from './compression.js';
export { StreamIdleTimeout } from './stream-idle-timeout.js';
export { decodeUpstreamLimits, encodeUpstreamLimits } from './upstream-limits.js';
export { MessageQueue } from './message-queue.js';
export {
  LimitedClient,
  lowestFinalStatus,
  type LimitedClientOptions,
  type LimitedRequestOptions,
} from './limited-client.js';
export { isFramedResponse, isPlainBody } from './response-framing.js';
export { RpcClientPool } from './rpc-client.js';
export { createRpcServer, type RpcServerOptions } from './rpc-server.js';
export {
  createUpstreamConnector,
  maximumUnreadBytes,
  UpstreamSocket,
  type UpstreamConnectorOptions,
} from './upstream-connector.js';
