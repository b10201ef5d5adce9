import { create, type MessageInitShape } from '@bufbuild/protobuf';

import { findResultCodeName, resultCodes } from '../../common/index.js';
import {
  AskResponse_State,
  AskResponseSchema,
  AttemptNameSchema,
  RunRequestSchema,
  RunResponseSchema,
  type AskResponse,
  type AttemptName as WireAttemptName,
  type RunRequest,
  type RunResponse,
} from '../../generated/pistachiospoke/v1/attempt_pb.js';
import type { Load as WireLoad } from '../../generated/pistachiospoke/v1/common_pb.js';
import type { AttemptName, AttemptOrder, AttemptState, Load } from '../../model/index.js';
import type { AttemptMessage, UpstreamRequest } from './messages.js';

/** Conversions between the protobuf messages of AttemptService and the model types, for both client and server. */

/** Encodes the attempt order and the upstream request for a Run call. */
export function encodeRun(order: AttemptOrder, request: UpstreamRequest): RunRequest {
  return create(RunRequestSchema, {
    name: encodeAttemptName(order.name),
    group: order.group,
    fencingNumber: BigInt(order.fencingNumber),
    configurationRevision: BigInt(order.configurationRevision),
    remainingMilliseconds: Math.max(0, Math.floor(order.remaining)),
    account: order.account,
    accountWeight: order.accountWeight,
    priority: order.priority,
    nonIdempotent: order.isNonIdempotent,
    method: request.method,
    path: request.path,
    headers: [...request.headers],
    body: request.body,
    affinityKey: request.affinityKey,
  });
}

/** Decodes the attempt order of a Run call. */
export function decodeOrder(request: RunRequest): AttemptOrder {
  return {
    name: decodeAttemptName(request.name),
    group: request.group,
    fencingNumber: Number(request.fencingNumber),
    configurationRevision: Number(request.configurationRevision),
    remaining: request.remainingMilliseconds,
    account: request.account,
    accountWeight: request.accountWeight,
    priority: request.priority,
    isNonIdempotent: request.nonIdempotent,
  };
}

/** Decodes the upstream request of a Run call. */
export function decodeUpstreamRequest(request: RunRequest): UpstreamRequest {
  const { method, path, headers, body, affinityKey } = request;
  return { method, path, headers, body, affinityKey };
}

export function encodeAttemptName(name: AttemptName): WireAttemptName {
  return create(AttemptNameSchema, { ...name });
}

export function decodeAttemptName(name: WireAttemptName | undefined): AttemptName {
  return {
    requestId: name?.requestId ?? '',
    attempt: name?.attempt ?? 0,
    incarnation: name?.incarnation ?? '',
  };
}

export function encodeMessage(message: AttemptMessage): RunResponse {
  return create(RunResponseSchema, { event: encodeEvent(message) });
}

/** Decodes a message of an attempt; undefined for a type unknown to this version. */
export function decodeMessage(response: RunResponse): AttemptMessage | undefined {
  const { event } = response;
  switch (event.case) {
    case 'accepted':
    case 'keepAlive':
      return { type: event.case, load: decodeLoad(event.value.load) };
    case 'refused':
      return {
        type: 'refused',
        refusal: {
          code: findResultCodeName(event.value.resultCode),
          load: decodeLoad(event.value.load),
          retryAfter: event.value.retryAfterMilliseconds,
          configurationRevision: Number(event.value.configurationRevision),
        },
      };
    case 'head':
      return { type: 'head', status: event.value.status, headers: event.value.headers };
    case 'data':
      return { type: 'data', offset: Number(event.value.offset), bytes: event.value.bytes };
    case 'end':
      return {
        type: 'ended',
        totalBytes: Number(event.value.totalBytes),
        code: findResultCodeName(event.value.resultCode),
        retryAfter: event.value.retryAfterMilliseconds,
        ...(event.value.crash === '' ? {} : { crash: event.value.crash }),
      };
    case undefined:
      return undefined;
  }
}

/** Encodes the state of an attempt as the response to a gateway's Ask call. */
export function encodeAttemptState(state: AttemptState): AskResponse {
  switch (state.type) {
    case 'neverSeen':
      return create(AskResponseSchema, { state: AskResponse_State.NEVER_SEEN });
    case 'otherIncarnation':
      return create(AskResponseSchema, { state: AskResponse_State.OTHER_INCARNATION });
    case 'refused':
      return create(AskResponseSchema, {
        state: AskResponse_State.REFUSED,
        resultCode: resultCodes[state.code].number,
      });
    case 'running':
      return create(AskResponseSchema, {
        state: AskResponse_State.RUNNING,
        firstOffset: BigInt(state.firstOffset),
        nextOffset: BigInt(state.nextOffset),
      });
    case 'ended':
      return create(AskResponseSchema, {
        state: AskResponse_State.ENDED,
        firstOffset: BigInt(state.firstOffset),
        nextOffset: BigInt(state.nextOffset),
        resultCode: resultCodes[state.code].number,
      });
  }
}

/** Decodes the response to an Ask call; undefined for a state unknown to this version. */
export function decodeAttemptState(response: AskResponse): AttemptState | undefined {
  const offsets = {
    firstOffset: Number(response.firstOffset),
    nextOffset: Number(response.nextOffset),
  };
  const code = findResultCodeName(response.resultCode);
  switch (response.state) {
    case AskResponse_State.NEVER_SEEN:
      return { type: 'neverSeen' };
    case AskResponse_State.OTHER_INCARNATION:
      return { type: 'otherIncarnation' };
    case AskResponse_State.REFUSED:
      return { type: 'refused', code };
    case AskResponse_State.RUNNING:
      return { type: 'running', ...offsets };
    case AskResponse_State.ENDED:
      return { type: 'ended', ...offsets, code };
    case AskResponse_State.UNSPECIFIED:
      return undefined;
  }
}

type WireEvent = NonNullable<MessageInitShape<typeof RunResponseSchema>['event']>;

function encodeEvent(message: AttemptMessage): WireEvent {
  switch (message.type) {
    case 'accepted':
    case 'keepAlive':
      return { case: message.type, value: { load: message.load } };
    case 'refused':
      return {
        case: 'refused',
        value: {
          resultCode: resultCodes[message.refusal.code].number,
          load: message.refusal.load,
          retryAfterMilliseconds: Math.ceil(message.refusal.retryAfter),
          configurationRevision: BigInt(message.refusal.configurationRevision),
        },
      };
    case 'head':
      return { case: 'head', value: { status: message.status, headers: [...message.headers] } };
    case 'data':
      return { case: 'data', value: { offset: BigInt(message.offset), bytes: message.bytes } };
    case 'ended':
      return {
        case: 'end',
        value: {
          totalBytes: BigInt(message.totalBytes),
          resultCode: resultCodes[message.code].number,
          retryAfterMilliseconds: Math.ceil(message.retryAfter),
          crash: message.crash ?? '',
        },
      };
  }
}

function decodeLoad(load: WireLoad | undefined): Load {
  return {
    running: load?.running ?? 0,
    queued: load?.queued ?? 0,
    capacity: load?.capacity ?? 0,
  };
}
