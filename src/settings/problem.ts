/** What is wrong with a settings file or a configuration document, and where. */

/** Where the offending value stands. */
export type ProblemPlace =
  | {
      readonly type: 'file';
      readonly file: string;
      /** Counted from 1. */
      readonly line: number;
      /** Counted from 1, in UTF-16 units. */
      readonly column: number;
    }
  | { readonly type: 'flag'; readonly flag: string };

/** One thing that is wrong. */
export interface DocumentProblem {
  readonly severity: 'error' | 'warning';
  readonly place: ProblemPlace;
  /** Path of the value, such as `groups[0].replicaSize`; empty for the whole document. */
  readonly path: string;
  /** What is wrong and what was expected. */
  readonly message: string;
}

/** One line: `file:line:column: error: path: message`. */
export function formatProblem(problem: DocumentProblem): string {
  const subject = problem.path === '' ? '' : `${problem.path}: `;
  return `${formatPlace(problem.place)}: ${problem.severity}: ${subject}${problem.message}`;
}

function formatPlace(place: ProblemPlace): string {
  switch (place.type) {
    case 'file':
      return `${place.file}:${place.line}:${place.column}`;
    case 'flag':
      return place.flag;
  }
}

/** Path in the usual notation: names joined by dots, numbers in brackets. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}
