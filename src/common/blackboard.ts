/**
 * Shared state of the controllers of one role, in named sections (the blackboard pattern).
 * Any controller may read any section; only the owner of a section may write it.
 */
export class Blackboard<Sections extends object> {
  readonly #sections: Sections;
  readonly #owned = new Set<keyof Sections>();

  constructor(initial: Sections) {
    this.#sections = { ...initial };
  }

  /** The current value of a section; treat it as immutable. */
  read<Name extends keyof Sections>(name: Name): Readonly<Sections[Name]> {
    return this.#sections[name];
  }

  /**
   * Claims a section and returns the only function that can write it.
   * Throws if the section already has an owner, because two writers would overwrite each other's decisions. Sections are
   * claimed at startup, so a second claim shows there.
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
