/**
 * Flags for Node with which every program runs, unless it is started with others.
 *
 * V8 lets its young generation grow to 48 MB and more, and its old one to four times of what is in use before it collects. A process whose
 * clients keep it busy needs all of that, and the buffers that its objects refer to come on top. These flags bound the semi-spaces, in MB,
 * and the growth of the old generation between two collections, in percent.
 */
export const nodeFlags = ['--max-semi-space-size=4', '--heap-growing-percent=50'];
