import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';

import { formatPath, type DocumentProblem, type ProblemLocation } from './problem.js';

/** A JSON-with-comments document: gives its value, and the line and column of every part. */
export class TextDocument {
  readonly #file: string;
  readonly #text: string;
  readonly #root: Node | undefined;
  readonly #errors: readonly ParseError[];

  constructor(file: string, text: string) {
    const errors: ParseError[] = [];
    this.#file = file;
    this.#text = text;
    this.#root = parseTree(text, errors, { allowTrailingComma: true });
    this.#errors = errors;
  }

  /** The parsed value; only meaningful if there are no syntax problems. */
  readValue(): unknown {
    return this.#root === undefined ? undefined : (getNodeValue(this.#root) as unknown);
  }

  /** Finds invalid JSON, and duplicate names in one object, of which the parser would silently use the last. */
  findSyntaxProblems(): readonly DocumentProblem[] {
    if (this.#text.trim() === '') {
      return [this.createProblem([], 'the file is empty')];
    }
    const syntax = this.#errors.map((error): DocumentProblem => {
      const message = `not valid JSON: ${printParseErrorCode(error.error)}`;
      return { severity: 'error', place: this.#locateOffset(error.offset), path: '', message };
    });
    return [...syntax, ...this.#findDuplicateNames(this.#root, [])];
  }

  createProblem(
    path: readonly PropertyKey[],
    message: string,
    severity: DocumentProblem['severity'] = 'error',
  ): DocumentProblem {
    return { severity, place: this.#locate(path), path: formatPath(path), message };
  }

  /** Location of the value; if it is missing, of its nearest existing ancestor. */
  #locate(path: readonly PropertyKey[]): ProblemLocation {
    for (let length = path.length; length > 0; length -= 1) {
      const segments = path.slice(0, length).map(toSegment);
      const node = this.#root && findNodeAtLocation(this.#root, segments);
      if (node !== undefined) {
        return this.#locateOffset(findStartOffset(node));
      }
    }
    return this.#locateOffset(this.#root?.offset ?? 0);
  }

  #locateOffset(offset: number): ProblemLocation {
    const before = this.#text.slice(0, offset);
    const line = before.split('\n').length;
    const column = offset - (before.lastIndexOf('\n') + 1) + 1;
    return { type: 'file', file: this.#file, line, column };
  }

  #findDuplicateNames(
    node: Node | undefined,
    path: readonly PropertyKey[],
  ): readonly DocumentProblem[] {
    const children = node?.children ?? [];
    if (node?.type === 'array') {
      return children.flatMap((child, index) => this.#findDuplicateNames(child, [...path, index]));
    }
    const seen = new Set<string>();
    return children.flatMap((property) => {
      const [nameNode, valueNode] = property.children ?? [];
      const name = String(nameNode?.value);
      const inner = this.#findDuplicateNames(valueNode, [...path, name]);
      if (!seen.has(name)) {
        seen.add(name);
        return inner;
      }
      const place = this.#locateOffset(property.offset);
      const message = 'this name stands twice in one object, expected once';
      return [
        { severity: 'error' as const, place, path: formatPath([...path, name]), message },
        ...inner,
      ];
    });
  }
}

/** For a property, the offset of its name rather than of its value, so that a problem with an unknown name points at the name. */
function findStartOffset(node: Node): number {
  return node.parent?.type === 'property' ? node.parent.offset : node.offset;
}

function toSegment(part: PropertyKey): string | number {
  return typeof part === 'symbol' ? String(part) : part;
}
