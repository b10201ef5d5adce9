/**
 * The shared state of one role, in named sections.
 * Any controller reads any section; only the one owner of a section writes it.
 */
export class Blackboard<Sections extends object> {
  readonly #sections: Sections;
  readonly #owned = new Set<keyof Sections>();

  constructor(initial: Sections) {
    this.#sections = { ...initial };
  }

  /** The present value of a section; treat it as immutable. */
  read<Name extends keyof Sections>(name: Name): Readonly<Sections[Name]> {
    return this.#sections[name];
  }

  /**
   * Takes ownership of a section and returns its only writer.
   * Two writers of one section would overwrite each other's decisions; the second claim throws at start-up.
   */
  own<Name extends keyof Sections>(name: Name): (value: Sections[Name]) => void {
    if (this.#owned.has(name)) {
      throw new Error(`section ${String(name)} already has an owner`);
    }
    this.#owned.add(name);
    return (value) => {
      this.#sections[name] = value;
    };
  }
}
