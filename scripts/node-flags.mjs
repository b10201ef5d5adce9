/**
 * Flags for Node with which every program runs, unless it is started with others.
 *
 * V8 lets its young generation grow to 48 MB and more, and the buffers that its objects refer to come on top of that. A process whose clients
 * send many small pieces needs all of it. Semi-spaces of this size, in MB, bound both.
 */
export const nodeFlags = ['--max-semi-space-size=4'];
