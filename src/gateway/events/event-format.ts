/** How the events of a stream are written (server-sent events of the HTML standard). */

/** Size of an event with the comments and blank lines before it; no event can be expected after more bytes without one. */
export const maximumEventBytes = 256 * 1024;

/** What a deployment's streams consist of. */
export type EventFormat =
  /** Any events of the standard. Their identifiers mean nothing to a gateway; one whose data is `[DONE]` is the last. */
  | { readonly type: 'plain' }
  /** Each event has data and, as its identifier, the number after that of the event before. The first of a stream has number 1. */
  | {
      readonly type: 'numbered';
      /** Names of fields that events may have beside those of the standard. */
      readonly additionalFields: ReadonlySet<string>;
    };

/** Why an event does not belong to its stream. */
export type EventFault =
  /** A line is no field of an event. */
  | 'malformed'
  /** There is no identifier, or it is empty. */
  | 'withoutId'
  /** The identifier is no number, or there are several. */
  | 'invalidId'
  /** The identifier is another number than that of the next event. */
  | 'unexpectedId'
  | 'withoutData'
  /** It comes after the last event. */
  | 'afterEnd';
