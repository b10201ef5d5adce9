/** What a test and the process of its relays send each other; a relay is known by its address (`ip:port`). */
import type { RelayMode } from './relay.js';

export type RelayCommand =
  | { readonly type: 'open'; readonly target: string }
  | { readonly type: 'set mode'; readonly addresses: readonly string[]; readonly mode: RelayMode }
  | { readonly type: 'swallow open connections'; readonly addresses: readonly string[] }
  | { readonly type: 'measure stalls' };

export type RelayReply =
  | { readonly type: 'opened'; readonly address: string }
  | { readonly type: 'done' }
  | { readonly type: 'measured'; readonly longestStall: number }
  | { readonly type: 'failed'; readonly reason: string };

export interface RelayRequest {
  readonly id: number;
  readonly command: RelayCommand;
}

/** Carries the id of its request. */
export interface RelayResponse {
  readonly id: number;
  readonly reply: RelayReply;
}
