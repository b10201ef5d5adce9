import type { StateMachine } from '../../consensus/index.js';
import { applyCommand } from './apply.js';
import { parseCommand } from './parse-command.js';
import { decodeSnapshot, encodeSnapshot } from './snapshot.js';
import { initialControlState, type CommandAnswer, type ControlState } from './state.js';

/** Called with the state after each command and each restore. */
export type StateListener = (state: ControlState) => void;

/** State machine of control, driven by the replicated log. */
export class ControlStateMachine implements StateMachine<CommandAnswer> {
  #state: ControlState = initialControlState;
  readonly #listener: StateListener;

  constructor(listener: StateListener = ignoreState) {
    this.#listener = listener;
  }

  /** The state after the last command applied. */
  read(): ControlState {
    return this.#state;
  }

  readonly apply = (index: number, command: string): CommandAnswer => {
    // Log entries that are not commands have indexes too, so the index comes from the log.
    const before = { ...this.#state, index: index - 1 };
    const parsed = parseCommand(command);
    if (parsed.err) {
      this.#change({ ...before, index });
      return { type: 'refused', failure: parsed.val, winner: undefined, differences: [] };
    }
    const { state, answer } = applyCommand(before, parsed.val);
    this.#change(state);
    return answer;
  };

  readonly takeSnapshot = (): string => encodeSnapshot(this.#state);

  readonly restoreSnapshot = (index: number, snapshot: string): void => {
    this.#change({ ...decodeSnapshot(snapshot), index });
  };

  #change(state: ControlState): void {
    this.#state = state;
    this.#listener(state);
  }
}

function ignoreState(): void {
  // No listener was given.
}
