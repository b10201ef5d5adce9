/** Problems of settings files and configuration documents, with their locations. */

/** Location of the invalid value. */
export type ProblemLocation =
  | {
      readonly type: 'file';
      readonly file: string;
      /** 1-based. */
      readonly line: number;
      /** 1-based, in UTF-16 code units. */
      readonly column: number;
    }
  | { readonly type: 'flag'; readonly flag: string };

/** A problem in a settings file, a flag or a configuration document. */
export interface DocumentProblem {
  readonly severity: 'error' | 'warning';
  readonly place: ProblemLocation;
  /** Path of the value, such as `groups[0].replicaSize`; empty for the whole document. */
  readonly path: string;
  /** What is wrong and what was expected. */
  readonly message: string;
}

/** Formats a problem as one line: `file:line:column: error: path: message`. */
export function formatProblem(problem: DocumentProblem): string {
  const subject = problem.path === '' ? '' : `${problem.path}: `;
  return `${formatLocation(problem.place)}: ${problem.severity}: ${subject}${problem.message}`;
}

function formatLocation(place: ProblemLocation): string {
  switch (place.type) {
    case 'file':
      return `${place.file}:${place.line}:${place.column}`;
    case 'flag':
      return place.flag;
  }
}

/** Formats a path with names joined by dots and indexes in brackets. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}
